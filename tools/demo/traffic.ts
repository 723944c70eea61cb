/**
 * Steady traffic of the demo: calls at a fixed rate, each checked against the answer it must have.
 *
 * @packageDocumentation
 */
import * as StandIns from '../../standins/index.ts'
import * as TestKit from '../../testkit/index.ts'
import type * as System from './system.ts'

/** What traffic met. */
export interface TrafficCounts {
  sentCount: number
  answeredCount: number
  refusedCount: number
  /** Refusals that told the caller to come back, and after which it did. */
  retriedCount: number
  /** Answers that were cut, wrong or of unknown outcome. */
  brokenCount: number
  firstProblem: string | undefined
}

/** Running traffic. */
export interface Traffic {
  readonly counts: TrafficCounts
  /** Stops sending and waits for the answers under way. */
  stop: () => Promise<TrafficCounts>
}

const TOKEN_COUNT = 20
const MAX_RETRY_COUNT = 3

/**
 * Streams one call and checks every token.
 *
 * @param system - The system.
 * @param index - Numbers the call; chooses gateway and workspace.
 * @param counts - Counts to add to.
 */
export async function callOnce (system: System.System, index: number, counts: TrafficCounts): Promise<void> {
  const gateway = system.gateways[index % system.gateways.length]
  const workspace = system.shape.workspaces[index % system.shape.workspaces.length]
  const path = system.shape.services.find(service => service.kind === 'engine')?.routes[0]?.path ?? '/'
  const prompt = `note ${index}`
  counts.sentCount++
  const send = async (): Promise<TestKit.Caller.Reply> => await TestKit.Caller.send({
    port: gateway?.process.port ?? 0,
    path,
    workspace: workspace?.name ?? '',
    stream: true,
    body: { prompt, maxTokens: TOKEN_COUNT, stream: true }
  })
  try {
    let reply = await send()
    for (let retry = 0; retry < MAX_RETRY_COUNT && reply.headers['retry-after'] !== undefined; retry++) {
      counts.retriedCount++
      await TestKit.Wait.sleep(Number(reply.headers['retry-after']) * 1000)
      reply = await send()
    }
    const problem = problemOf(reply, prompt)
    if (problem === undefined) { counts.answeredCount++; return }
    if (reply.run === 'notRun') { counts.refusedCount++; return }
    counts.brokenCount++
    counts.firstProblem ??= problem
  } catch (error) {
    counts.brokenCount++
    counts.firstProblem ??= (error as Error).message
  }
}

/**
 * Creates counts of nothing.
 *
 * @returns The counts.
 */
export function createCounts (): TrafficCounts {
  return { sentCount: 0, answeredCount: 0, refusedCount: 0, retriedCount: 0, brokenCount: 0, firstProblem: undefined }
}

/**
 * Starts traffic.
 *
 * @param system - The system.
 * @param callsPerSecond - The rate.
 * @returns The traffic; stop it to read its counts.
 */
export function startTraffic (system: System.System, callsPerSecond: number): Traffic {
  const counts = createCounts()
  const running = new Set<Promise<void>>()
  const timer = setInterval(() => {
    const call = callOnce(system, counts.sentCount, counts).finally(() => { running.delete(call) })
    running.add(call)
  }, 1000 / callsPerSecond)
  return {
    counts,
    stop: async () => {
      clearInterval(timer)
      await Promise.all(running)
      return counts
    }
  }
}

function problemOf (reply: TestKit.Caller.Reply, prompt: string): string | undefined {
  if (reply.endVersion === undefined) return `no end mark: status ${reply.status}, ${reply.text.slice(-200)}`
  const version = reply.endVersion
  if (reply.tokens.length !== TOKEN_COUNT) return `${reply.tokens.length} tokens of ${TOKEN_COUNT}`
  const whole = reply.tokens.every((token, index) => token === StandIns.Engine.tokenOf(version, prompt, index))
  return whole ? undefined : 'tokens of another version or prompt'
}
