/**
 * Plays requests that crash endpoints because of one part of their prompts on the stand-ins, with sound requests that share all else.
 *
 * @packageDocumentation
 */
import { setTimeout as sleep } from 'node:timers/promises'
import * as Core from '../src/core/index.ts'
import * as Crashes from './crashes.ts'
import * as Direct from './direct.ts'
import * as Wait from './wait.ts'

/** What is played. */
export interface PartPlayOptions {
  readonly path: string
  readonly gatewayCount: number
  readonly runnerCount: number
  /** How often a request with the part comes, in milliseconds. */
  readonly everyMs: number
  /** Whether the part was in sound requests until the fault began. */
  readonly wasSound?: boolean
  /** The caller of a request with the part leaves so long after it was sent, in milliseconds. */
  readonly leavesAfterMs?: number
  /** Where the part stands in the prompt; 1 unless given. */
  readonly at?: 0 | 1
}

/** What a play showed. */
export interface PlayedPart {
  readonly crashCount: number
  /** Requests with the part that reached endpoints when they count. */
  readonly lateCount: number
  /** Answers to the requests with the part. */
  readonly deadly: readonly Direct.CallAnswer[]
  /** Answers to sound requests that share the first part, or all parts but the crashing one, from twice the stable time after the fifth crash. */
  readonly sharing: readonly Direct.CallAnswer[]
  /** Answers to other sound requests in that time. */
  readonly others: readonly Direct.CallAnswer[]
}

/** A part play on its stage. */
export interface PartPlay {
  readonly stage: Direct.DirectStage
  readonly gateways: readonly Direct.StartedGateway[]
  /** Plays until so long after sound requests are judged, in milliseconds. */
  play: (durationMs: number) => Promise<PlayedPart>
}

/** The part that crashes endpoints, and the one that sound requests share with such requests. */
export const CRASHING_PART = 'dead'
export const SHARED_PART = 'feed'
const STEP_MS = 40
const PATIENCE_MS = 5_000
/** Time for gateways to hear of one another, in milliseconds. */
const SETTLE_MS = 1_500
const SEED = 7

/**
 * Starts the stage.
 *
 * @param options - What is played.
 * @returns The play, once all gateways serve.
 */
export async function startPartPlay (options: PartPlayOptions): Promise<PartPlay> {
  const { path, everyMs, leavesAfterMs, at = 1 } = options
  const service = path.startsWith('/stream/') ? 'llm' : 'plain'
  const stage = await Direct.startDirectStage(Array.from({ length: options.runnerCount }, (_, index) => ({ instanceId: `e${index}`, service })))
  const gateways = [stage.first]
  for (let count = 2; count <= options.gatewayCount; count++) gateways.push(await stage.addGateway(`g${count}`))
  for (const gateway of gateways) await Wait.until(`${gateway.name} serves`, PATIENCE_MS, async () => (await gateway.call({ path })).status === 200)
  await sleep(SETTLE_MS)
  const random = Core.Random.createRandom(SEED)
  const anyGateway = (): Direct.StartedGateway => gateways[random.below(gateways.length)] as Direct.StartedGateway
  let uniqueCount = 0
  const call = async (sharedParts: readonly string[], leavesMs?: number): Promise<Direct.CallAnswer> => {
    const own = (uniqueCount++).toString(16)
    return await anyGateway().call({ path, body: `body ${own}`, parts: [...sharedParts, own], ...(leavesMs === undefined ? {} : { leavesAfterMs: leavesMs }) })
  }
  const deadlyParts = at === 0 ? [CRASHING_PART, SHARED_PART] : [SHARED_PART, CRASHING_PART]
  if (options.wasSound === true) for (let count = 0; count < 2 * options.gatewayCount; count++) await call(deadlyParts)
  for (const runner of stage.runners) runner.faults.crashPart = CRASHING_PART

  const play = async (durationMs: number): Promise<PlayedPart> => {
    const deadly: Array<Promise<Direct.CallAnswer>> = []
    const sharing: Array<Promise<Direct.CallAnswer>> = []
    const others: Array<Promise<Direct.CallAnswer>> = []
    const startedMs = stage.clock()
    const lastCrashMs = (): number => Math.max(startedMs, ...stage.runners.flatMap(runner => runner.crashedAtMs))
    const judgedFromMs = (): number => Math.min(Crashes.countedFromMs(stage.runners, Crashes.FREE_PART_CRASH_COUNT), lastCrashMs() + Crashes.STABLE_MS) + Crashes.STABLE_MS
    const limitMs = startedMs + 6 * Crashes.STABLE_MS
    for (let step = 0; stage.clock() < Math.min(limitMs, judgedFromMs() + durationMs); step++) {
      if (step % Math.round(everyMs / STEP_MS) === 0) deadly.push(call(deadlyParts, leavesAfterMs))
      const isJudged = stage.clock() > judgedFromMs()
      // Requests with the shared part come one by one and from another group of parts, which the crashing one never joins.
      const answers = [call([SHARED_PART]), call(['ca11', (step % 5).toString(16).padStart(4, 'b')])]
      if (isJudged) {
        sharing.push(answers[0] as Promise<Direct.CallAnswer>)
        others.push(answers[1] as Promise<Direct.CallAnswer>)
      }
      await sleep(STEP_MS)
    }
    const [deadlyAnswers, sharingAnswers, otherAnswers] = [await Promise.all(deadly), await Promise.all(sharing), await Promise.all(others)]
    return {
      crashCount: stage.runners.flatMap(runner => runner.crashedAtMs).length,
      lateCount: Crashes.partArrivalsSince(stage.runners, CRASHING_PART, Crashes.countedFromMs(stage.runners, Crashes.FREE_PART_CRASH_COUNT)),
      deadly: deadlyAnswers,
      sharing: sharingAnswers,
      others: otherAnswers
    }
  }
  return { stage, gateways, play }
}
