/**
 * The faults of scenarios against real processes, by what they strike.
 *
 * @packageDocumentation
 */
import type * as StandIns from '../../standins/index.ts'
import type * as TestKit from '../../testkit/index.ts'
import type * as Stage from './stage.ts'

/** Brings a fault about. */
type Strike<Target> = (stage: Stage.Stage, target: Target, amount: number) => void | Promise<void>

/** What can be struck. */
interface TargetKind<Target> {
  /** Whether the fault names one of several. */
  readonly named: boolean
  readonly find: (stage: Stage.Stage, name: string) => Target | undefined
  readonly faults: Readonly<Record<string, Strike<Target>>>
  readonly heal: (stage: Stage.Stage, target: Target) => void | Promise<void>
}

/** A daemon that can be ended and started again. */
interface Daemon {
  readonly running: () => TestKit.Processes.Running
  readonly restart: () => Promise<void>
}

type StandIn = StandIns.Faults.StandIn

const STAND_IN_FAULTS: Readonly<Record<string, Strike<StandIn>>> = {
  down: (_stage, target) => { target.setFaults({ down: true }) },
  cut: (_stage, target) => { target.setFaults({ cut: true }) },
  silent: (_stage, target) => { target.setFaults({ silent: true }) },
  slow: (_stage, target, amount) => { target.setFaults({ slowMs: amount }) },
  'lose-answers': (_stage, target, amount) => { target.setFaults({ loseAnswerShare: amount }) }
}

const standIn = (named: boolean, find: (stage: Stage.Stage, name: string) => StandIn | undefined): TargetKind<StandIn> => ({
  named,
  find,
  faults: STAND_IN_FAULTS,
  heal: (_stage, target) => { target.setFaults({}) }
})

const daemon = (find: (stage: Stage.Stage, name: string) => Daemon | undefined): TargetKind<Daemon> => ({
  named: true,
  find,
  faults: {
    kill: async (_stage, target) => { await target.running().kill() },
    stop: async (_stage, target) => { await target.running().stop() },
    pause: (stage, target) => {
      target.running().signal('SIGSTOP')
      stage.paused.add(target.running())
    }
  },
  heal: async (stage, target) => {
    const running = target.running()
    if (stage.paused.delete(running)) { running.signal('SIGCONT'); return }
    await target.restart()
    stage.follow(target.running())
  }
})

const ENGINE_FAULTS: Readonly<Record<string, Strike<TestKit.Deployment.Runner>>> = {
  crash: (_stage, runner) => { runner.engine?.crash() },
  cold: (_stage, runner) => { runner.engine?.turnCold() }
}

const endpoint: TargetKind<TestKit.Deployment.Runner> = {
  named: true,
  find: (stage, name) => stage.deployment.runners.find(runner => runner.place.instanceId === name),
  faults: {
    ...ENGINE_FAULTS,
    ...Object.fromEntries(Object.entries(STAND_IN_FAULTS).map(([kind, strike]): [string, Strike<TestKit.Deployment.Runner>] => [
      kind,
      async (stage, runner, amount) => {
        const target = runner.engine ?? runner.plain
        if (target !== undefined) await strike(stage, target, amount)
      }
    ]))
  },
  heal: (_stage, runner) => { (runner.engine ?? runner.plain)?.setFaults({}) }
}

const TARGETS: Readonly<Record<string, TargetKind<any>>> = {
  store: standIn(false, stage => stage.deployment.table),
  objects: standIn(false, stage => stage.deployment.objects),
  origin: standIn(false, stage => stage.deployment.origin),
  list: standIn(false, stage => stage.deployment.instances),
  endpoint,
  agent: daemon((stage, name) => {
    const runner = stage.deployment.runners.find(candidate => candidate.place.instanceId === name)
    return runner === undefined ? undefined : { running: () => runner.agent, restart: async () => { await stage.deployment.restartAgent(runner) } }
  }),
  gateway: daemon((stage, name) => {
    const gateway = stage.deployment.gateways.find(candidate => candidate.instanceId === name)
    return gateway === undefined ? undefined : { running: () => gateway.process, restart: async () => { await stage.deployment.restartGateway(gateway) } }
  })
}

/**
 * Finds what is wrong with the words of a fault.
 *
 * @param words - What it strikes, its name where there are several, and the fault's kind.
 * @returns What is wrong; undefined for nothing.
 */
export function checkFault (words: readonly string[]): string | undefined {
  const target = TARGETS[words[0] ?? '']
  if (target === undefined) return `unknown target "${words[0] ?? ''}"; allowed: ${Object.keys(TARGETS).join(', ')}`
  if (words.length !== (target.named ? 3 : 2)) return `write "${words[0] ?? ''}${target.named ? ' NAME' : ''} FAULT"`
  const kind = words.at(-1) ?? ''
  return target.faults[kind] === undefined ? `unknown fault "${kind}"; allowed: ${Object.keys(target.faults).join(', ')}` : undefined
}

/**
 * Finds what is wrong with the words of a heal.
 *
 * @param words - What is healed, and its name where there are several.
 * @returns What is wrong; undefined for nothing.
 */
export function checkHeal (words: readonly string[]): string | undefined {
  const target = TARGETS[words[0] ?? '']
  if (target === undefined) return `unknown target "${words[0] ?? ''}"; allowed: ${Object.keys(TARGETS).join(', ')}`
  return words.length === (target.named ? 2 : 1) ? undefined : `write "${words[0] ?? ''}${target.named ? ' NAME' : ''}"`
}

/**
 * Brings a fault about.
 *
 * @param stage - The stage.
 * @param words - The checked words of the fault.
 * @param amount - How strong it is, for faults that have a strength.
 */
export async function strike (stage: Stage.Stage, words: readonly string[], amount: number): Promise<void> {
  const kind = TARGETS[words[0] ?? '']
  await kind?.faults[words.at(-1) ?? '']?.(stage, targetOf(stage, words), amount)
}

/**
 * Ends the faults of a target.
 *
 * @param stage - The stage.
 * @param words - The checked words of the target.
 */
export async function heal (stage: Stage.Stage, words: readonly string[]): Promise<void> {
  await TARGETS[words[0] ?? '']?.heal(stage, targetOf(stage, words))
}

/**
 * Names the target of a fault.
 *
 * @param words - The checked words of the fault.
 * @returns The words of the heal that ends it.
 */
export function targetWords (words: readonly string[]): readonly string[] {
  return words.slice(0, -1)
}

function targetOf (stage: Stage.Stage, words: readonly string[]): unknown {
  const target = TARGETS[words[0] ?? '']?.find(stage, words[1] ?? '')
  if (target === undefined) throw new Error(`there is no ${words[0] ?? ''} "${words[1] ?? ''}"`)
  return target
}
