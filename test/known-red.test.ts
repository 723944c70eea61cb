import * as ChildProcess from 'node:child_process'
import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'

describe('knownRed', () => {
  let folder = ''
  const testFile = (): string => Path.join(folder, 'sample.test.ts')
  const name = (): string => `${Path.relative(process.cwd(), testFile())} > outer > fails`
  const run = (list: string): { status: number | null, stdout: string } => {
    const listFile = Path.join(folder, 'list.txt')
    Fs.writeFileSync(listFile, list)
    const { NODE_TEST_CONTEXT, ...env } = process.env
    return ChildProcess.spawnSync(process.execPath, ['--import', 'tsx', 'tools/knownRed/main.ts', '--list', listFile, testFile()], { encoding: 'utf8', env })
  }
  before(() => {
    folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-red-'))
    Fs.writeFileSync(testFile(), "import { describe, it } from 'node:test'\ndescribe('outer', () => {\n  it('passes', () => {})\n  it('fails', () => { throw new Error('on purpose') })\n})\n")
  })
  after(() => { Fs.rmSync(folder, { recursive: true }) })

  describe('main', () => {
    it('passes over a listed failure, prints it and ends with the closing lines of the runner', () => {
      const { status, stdout } = run(`- test: ${name()}\n  command: npm test\n  seen: on purpose\n  issue: 7\n`)
      expect(status).toEqual(0)
      expect(stdout).toInclude(`known red: ${name()}; npm test; seen: on purpose; issue 7`)
      expect(stdout.indexOf('known red')).toBeLessThan(stdout.indexOf('tests 2'))
      expect(stdout).toInclude('fail 1')
    })

    it('fails for a failure that is not listed, and names an entry that did not fail', () => {
      const { status, stdout } = run('- test: another > test\n  command: npm test\n  seen: nothing\n  issue: 7\n')
      expect(status).toEqual(1)
      expect(stdout).toInclude(`failed and not listed: ${name()}`)
      expect(stdout).toInclude('listed as red but not seen to fail: another > test')
    })

    it('fails for a list that is not well-formed', () => {
      expect(run('- test: only\n').status).toEqual(1)
    })
  })
})
