/**
 * Plays a request that crashes endpoints on the stand-ins, with other calls beside it.
 *
 * @packageDocumentation
 */
import { setTimeout as sleep } from 'node:timers/promises'
import * as Core from '../src/core/index.ts'
import * as Crashes from './crashes.ts'
import * as Direct from './direct.ts'
import * as Wait from './wait.ts'

/** What is played. */
export interface PlayOptions {
  readonly path: string
  readonly gatewayCount: number
  readonly runnerCount: number
  /** The caller of the crashing request leaves so long after it sent it, in milliseconds. */
  readonly leavesAfterMs?: number
  /** Whether endpoints end without closing their connections. */
  readonly crashesSilently?: boolean
}

/** What callers got. */
export interface Played {
  readonly crashing: readonly Direct.CallAnswer[]
  /** Calls with bodies of their own, and with the popular one, that came from the counted time on. */
  readonly others: readonly Direct.CallAnswer[]
  readonly popular: readonly Direct.CallAnswer[]
}

/** A play on its stage. */
export interface CrashPlay {
  readonly stage: Direct.DirectStage
  readonly gateways: readonly Direct.StartedGateway[]
  /** Plays until so long after sends of the request count, in milliseconds. */
  play: (durationMs: number) => Promise<Played>
}

/** The body of the request that crashes endpoints, and of one that many callers send. */
export const CRASHING = 'crashing'
const POPULAR = 'popular'
const STEP_MS = 40
/** The crashing request comes again so often, in milliseconds. */
const COMES_AGAIN_MS = 200
const PATIENCE_MS = 5_000
/** Time for gateways to hear of one another, in milliseconds. */
const SETTLE_MS = 1_500
const SEED = 11

/**
 * Starts the stage.
 *
 * @param options - What is played.
 * @returns The play, once all gateways serve.
 */
export async function startCrashPlay (options: PlayOptions): Promise<CrashPlay> {
  const { path, leavesAfterMs } = options
  const service = path.startsWith('/stream/') ? 'llm' : 'plain'
  const stage = await Direct.startDirectStage(Array.from({ length: options.runnerCount }, (_, at) => ({ instanceId: `e${at}`, service })))
  const gateways = [stage.first]
  for (let count = 2; count <= options.gatewayCount; count++) gateways.push(await stage.addGateway(`g${count}`))
  for (const gateway of gateways) await Wait.until(`${gateway.name} serves`, PATIENCE_MS, async () => (await gateway.call({ path })).status === 200)
  await sleep(SETTLE_MS)
  for (const runner of stage.runners) Object.assign(runner.faults, { crashBody: CRASHING, crashesSilently: options.crashesSilently === true })

  const random = Core.Random.createRandom(SEED)
  const anyGateway = (): Direct.StartedGateway => gateways[random.below(gateways.length)] as Direct.StartedGateway
  const play = async (durationMs: number): Promise<Played> => {
    const crashing: Array<Promise<Direct.CallAnswer>> = []
    const others: Array<Promise<Direct.CallAnswer>> = []
    const popular: Array<Promise<Direct.CallAnswer>> = []
    const limitMs = stage.clock() + 4 * Crashes.STABLE_MS
    for (let step = 0; stage.clock() < Math.min(limitMs, Crashes.countedFromMs(stage.runners) + durationMs); step++) {
      if (step % Math.round(COMES_AGAIN_MS / STEP_MS) === 0) crashing.push(anyGateway().call({ path, body: CRASHING, ...(leavesAfterMs === undefined ? {} : { leavesAfterMs }) }))
      const isCounted = stage.clock() > Crashes.countedFromMs(stage.runners)
      const other = anyGateway().call({ path, body: `other ${step}` })
      const asked = anyGateway().call({ path, body: POPULAR })
      if (isCounted) {
        others.push(other)
        popular.push(asked)
      }
      await sleep(STEP_MS)
    }
    return { crashing: await Promise.all(crashing), others: await Promise.all(others), popular: await Promise.all(popular) }
  }
  return { stage, gateways, play }
}
