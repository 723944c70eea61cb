/**
 * Runs scenarios against real processes on loopback.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import * as TestKit from '../../testkit/index.ts'
import * as Expectations from './expectations.ts'
import * as Faults from './faults.ts'
import * as Measures from './measures.ts'
import * as Stage from './stage.ts'
import type * as Statements from './statements.ts'
import * as Traffic from './traffic.ts'

type Of<Kind extends Statements.StatementKind> = Extract<Statements.Statement, { kind: Kind }>
type Run<Kind extends Statements.StatementKind> = (stage: Stage.Stage, statement: Of<Kind>) => Promise<void>

const EXPECT_STEP_MS = 100

const RUNNERS: { readonly [Kind in Statements.StatementKind]?: Run<Kind> } = {
  commit: async (stage, statement) => { await commit(stage, statement) },
  traffic: async (stage, statement) => { startTraffic(stage, statement) },
  fault: async (stage, { words, amount, durationMs }) => {
    await Faults.strike(stage, words, amount ?? 0)
    if (durationMs === undefined) return
    stage.pendingHeals.push(TestKit.Wait.sleep(durationMs).then(async () => { await Faults.heal(stage, Faults.targetWords(words)) }))
  },
  heal: async (stage, { words }) => { await Faults.heal(stage, words) },
  operator: async (stage, { words }) => {
    const finished = await stage.deployment.ctl(words)
    if (finished.code !== 0) throw new Error(`fescuectl ${words.join(' ')} ended with ${finished.code}: ${finished.stdout}${finished.stderr}`)
  },
  mark: async stage => { for (const zone of stage.deployment.shape.zones) stage.marked.set(zone.name, stage.beganCount(zone.name)) },
  wait: async (_stage, { durationMs }) => { await TestKit.Wait.sleep(durationMs) },
  waitVersion: async (stage, { version, limitMs }) => { await waitVersion(stage, version, limitMs) },
  waitTraffic: async (stage, { name }) => {
    await Promise.all([...stage.traffic.values()].filter(traffic => name === undefined || traffic.name === name).map(async traffic => { await traffic.done }))
  },
  expect: async (stage, statement) => { await expectMeasure(stage, statement) }
}

/**
 * Finds what is wrong with a scenario against processes.
 *
 * @param statements - The statements.
 * @returns The problems.
 */
export function check (statements: readonly Statements.Statement[]): Statements.Problem[] {
  return statements.flatMap(statement => {
    const message = problemOf(statement)
    return message === undefined ? [] : [{ line: statement.line, column: 1, message }]
  })
}

/**
 * Runs a scenario.
 *
 * @param statements - The statements, checked.
 * @param onStatement - Told before each statement.
 * @throws When a statement fails.
 */
export async function run (statements: readonly Statements.Statement[], onStatement: (statement: Statements.Statement) => void): Promise<void> {
  const [given, ...rest] = statements
  if (given?.kind !== 'givenDeployment') throw new Error('a scenario starts with "given"')
  onStatement(given)
  const stage = await Stage.createStage(given)
  try {
    for (const statement of rest) {
      onStatement(statement)
      await (RUNNERS[statement.kind] as Run<any> | undefined)?.(stage, statement)
    }
    await Promise.all(stage.pendingHeals)
  } finally {
    for (const running of stage.paused) running.signal('SIGCONT')
    await Promise.allSettled([...stage.traffic.values()].map(async traffic => { await traffic.done }))
    await stage.deployment.stop()
  }
}

function problemOf (statement: Statements.Statement): string | undefined {
  if (statement.kind === 'givenFakes' || statement.kind === 'do') return `"${statement.kind}" is for fakes only`
  if (statement.kind === 'fault') return Faults.checkFault(statement.words)
  if (statement.kind === 'heal') return Faults.checkHeal(statement.words)
  if (statement.kind === 'givenDeployment') {
    if (Stage.SHAPES[statement.shape] === undefined) return `unknown deployment "${statement.shape}"; allowed: ${Object.keys(Stage.SHAPES).join(', ')}`
    const setting = statement.settings.find(({ name }) => Stage.SETTINGS[name] === undefined)
    return setting === undefined ? undefined : `unknown setting "${setting.name}"; allowed: ${Object.keys(Stage.SETTINGS).join(', ')}`
  }
  if (statement.kind === 'traffic') {
    const option = statement.options.find(name => !Traffic.TRAFFIC_OPTIONS.includes(name as never))
    return option === undefined ? undefined : `unknown option "${option}"; allowed: ${Traffic.TRAFFIC_OPTIONS.join(', ')}`
  }
  if (statement.kind !== 'expect') return undefined
  if (Measures.MEASURES[statement.measure] === undefined) return `unknown measure "${statement.measure}"; allowed: ${Object.keys(Measures.MEASURES).join(', ')}`
  return Measures.NAMED_MEASURES.has(statement.measure) && statement.of === undefined ? `write "${statement.measure} of NAME"` : undefined
}

async function commit (stage: Stage.Stage, { version, operatorCount }: Of<'commit'>): Promise<void> {
  const manifest = Stage.manifestOf(stage, version)
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-scenario-'))
  const file = Path.join(folder, 'manifest.json')
  try {
    Fs.writeFileSync(file, JSON.stringify(manifest))
    const shown = JSON.parse((await stage.deployment.ctl(['status', '--json'])).stdout) as { gateway: { versions: { manifest: number } } }
    const expected = operatorCount > 1 ? ['--expected-version', String(shown.gateway.versions.manifest)] : []
    const finished = await Promise.all(Array.from({ length: operatorCount }, async (_, index) =>
      await stage.deployment.ctl(['manifest', 'commit', file, ...expected], index % stage.deployment.gateways.length)))
    const acceptedCount = finished.filter(({ code }) => code === 0).length
    if (acceptedCount === 0) throw new Error(`no commit was accepted: ${finished[0]?.stdout ?? ''}${finished[0]?.stderr ?? ''}`)
    stage.acceptedCount += acceptedCount
  } finally {
    Fs.rmSync(folder, { recursive: true, force: true })
  }
}

function startTraffic (stage: Stage.Stage, statement: Of<'traffic'>): void {
  const service = stage.deployment.shape.services.find(candidate => candidate.routes.some(route => route.path === statement.path && route.method === statement.method))
  if (service === undefined) throw new Error(`no service has ${statement.method} ${statement.path}`)
  stage.traffic.set(statement.name, Traffic.startTraffic({ statement, kind: service.kind, nextPort: stage.nextPort }))
}

/** With a process away, the endpoints whose agents are there are waited for. */
async function waitVersion (stage: Stage.Stage, version: string, limitMs: number): Promise<void> {
  const usable = (running: TestKit.Processes.Running): boolean => running.alive() && !stage.paused.has(running)
  if (Stage.processesOf(stage.deployment).every(usable)) { await stage.deployment.untilLive(version, limitMs); return }
  await TestKit.Wait.until(`version ${version} held`, limitMs, () =>
    stage.deployment.runners.every(runner => runner.engine === undefined || !usable(runner.agent) || runner.engine.state().modelVersion === version))
}

async function expectMeasure (stage: Stage.Stage, statement: Of<'expect'>): Promise<void> {
  const untilMs = performance.now() + (statement.limitMs ?? 0)
  for (;;) {
    const value = await Measures.MEASURES[statement.measure]?.(stage, statement.of) ?? Number.NaN
    if (Expectations.holds(statement, value)) return
    if (performance.now() >= untilMs) throw new Error(Expectations.describe(statement, value))
    await TestKit.Wait.sleep(EXPECT_STEP_MS)
  }
}
