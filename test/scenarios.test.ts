import * as ChildProcess from 'node:child_process'
import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Language from '../tools/scenarios/language.ts'
import * as Run from '../tools/scenarios/run.ts'

const messagesOf = async (text: string): Promise<readonly string[]> => (await Run.runScenario({ file: 'x.scenario', text })).messages

describe('scenarios', () => {
  describe('parse', () => {
    it('reads each statement with its line', () => {
      const statements = Language.parse('# title\n\ngiven deployment samlag with cold-ms 20\nwait 1.5 s # pause\nexpect began of nordur at most 3 within 2 s')._unsafeUnwrap()
      expect(statements).toEqual([
        { line: 3, kind: 'givenDeployment', shape: 'samlag', settings: [{ name: 'cold-ms', value: 20 }] },
        { line: 4, kind: 'wait', durationMs: 1_500 },
        { line: 5, kind: 'expect', measure: 'began', of: 'nordur', comparison: 'atMost', value: 3, limitMs: 2_000 }
      ])
    })

    it('names line and column of every problem', () => {
      const problems = Language.parse('given fakes agent seed\nwait 3 h\nexpect violations is 0\n%')._unsafeUnwrapErr()
      expect(problems.map(({ line, column }) => [line, column])).toEqual([[1, 23], [2, 8], [4, 1]])
    })
  })

  describe('check', () => {
    const cases: ReadonlyArray<readonly [string, string, string]> = [
      ['a world', 'given fakes moon seed 1\nexpect violations is 0', 'x.scenario:1:1: unknown world "moon"'],
      ['an action', 'given fakes agent seed 1\ndo dance 1\nexpect violations is 0', 'x.scenario:2:1: unknown action "dance"'],
      ['a deployment', 'given deployment moon\nexpect sent is 0', 'x.scenario:1:1: unknown deployment "moon"'],
      ['a setting', 'given deployment samlag with speed 3\nexpect sent is 0', 'x.scenario:1:1: unknown setting "speed"'],
      ['a target', 'given deployment samlag\nfault moon down\nexpect sent is 0', 'x.scenario:2:1: unknown target "moon"'],
      ['a fault', 'given deployment samlag\nfault store dance\nexpect sent is 0', 'x.scenario:2:1: unknown fault "dance"'],
      ['a measure', 'given deployment samlag\nexpect joy is 1', 'x.scenario:2:1: unknown measure "joy"'],
      ['a scenario without expectations', 'given deployment samlag\nwait 1 s', 'x.scenario:1:1: the scenario expects nothing']
    ]
    for (const [what, text, message] of cases) {
      it(`refuses ${what} that it does not know`, async () => { expect((await messagesOf(text))[0] ?? '').toInclude(message) })
    }
  })

  describe('main', () => {
    const run = (text: string): { status: number | null, stdout: string } => {
      const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-scenarios-'))
      const file = Path.join(folder, 'a.scenario')
      Fs.writeFileSync(file, text)
      const finished = ChildProcess.spawnSync(process.execPath, ['--import', 'tsx', 'tools/scenarios/main.ts', '--json', file], { encoding: 'utf8' })
      Fs.rmSync(folder, { recursive: true })
      return finished
    }

    it('ends with zero when every expectation holds', () => {
      const { status, stdout } = run('given fakes gateway seed 1\ndo call 1\nwait 1 s\nexpect violations is 0')
      expect([status, JSON.parse(stdout).passed]).toEqual([0, 1])
    })

    it('ends with one and names the line of a wrong expectation', () => {
      const { status, stdout } = run('given fakes gateway seed 1\ndo call 1\nwait 1 s\nexpect violations at least 1')
      expect([status, JSON.parse(stdout).failed]).toEqual([1, 1])
      expect(JSON.parse(stdout).results[0].messages[0]).toInclude('a.scenario:4: expected violations at least 1, was 0')
    })
  })
})
