/**
 * What scenarios against real processes may expect.
 *
 * @packageDocumentation
 */
import * as Stage from './stage.ts'
import type * as Traffic from './traffic.ts'

/** Takes a measure. */
type Measure = (stage: Stage.Stage, of: string | undefined) => number | Promise<number>

const PERCENT = 100

const requestsOf = (stage: Stage.Stage, of: string | undefined): readonly Traffic.Request[] => {
  const named = of === undefined ? [...stage.traffic.values()] : [stage.traffic.get(of)].flatMap(traffic => traffic ?? [])
  if (named.length === 0) throw new Error(`there is no traffic${of === undefined ? '' : ` "${of}"`}`)
  return named.flatMap(traffic => traffic.requests)
}
const count = (holds: (request: Traffic.Request, stage: Stage.Stage) => boolean): Measure => (stage, of) =>
  requestsOf(stage, of).filter(request => holds(request, stage)).length
const ended = (ending: Traffic.Ending): Measure => count(request => request.ending === ending)
const keyed = (holds: (request: Traffic.Request, executionCount: number) => boolean): Measure => count((request, stage) =>
  request.key !== undefined && holds(request, Stage.executionsOf(stage, request.key)))
const overEngines = (value: (state: { readonly overloadCount: number, readonly crashCount: number }) => number): Measure => stage =>
  stage.deployment.runners.reduce((total, runner) => total + (runner.engine === undefined ? 0 : value(runner.engine.state())), 0)

/** Every measure by name. */
export const MEASURES: Readonly<Record<string, Measure>> = {
  sent: count(() => true),
  'answered-percent': (stage, of) => {
    const requests = requestsOf(stage, of)
    return PERCENT * requests.filter(request => request.ending === 'answered').length / requests.length
  },
  refused: ended('refused'),
  unknown: ended('unknown'),
  lost: ended('lost'),
  wrong: count(request => request.wrong),
  cut: count(request => request.cut),
  doubled: keyed((_request, executionCount) => executionCount > 1),
  unfiled: keyed((request, executionCount) => request.ending === 'answered' && executionCount !== 1),
  'false-refusals': keyed((request, executionCount) => request.onlyRefused && executionCount > 0),
  overloads: overEngines(state => state.overloadCount),
  crashes: overEngines(state => state.crashCount),
  began: (stage, zone = '') => stage.beganCount(zone) - (stage.marked.get(zone) ?? 0),
  holding: (stage, version) => stage.deployment.runners.filter(runner => runner.engine?.state().modelVersion === version).length,
  accepted: stage => stage.acceptedCount,
  'manifest-version': async stage => {
    const alive = stage.deployment.gateways.flatMap((gateway, index) => gateway.process.alive() && !stage.paused.has(gateway.process) ? [index] : [])
    const versions = await Promise.all(alive.map(async index => {
      const shown = JSON.parse((await stage.deployment.ctl(['status', '--json'], index)).stdout) as { gateway: { versions: { manifest: number } } }
      return shown.gateway.versions.manifest
    }))
    return Math.min(...versions)
  },
  violations: stage => stage.violationCount()
}

/** The measures that need a name after `of`. */
export const NAMED_MEASURES: ReadonlySet<string> = new Set(['began', 'holding'])
