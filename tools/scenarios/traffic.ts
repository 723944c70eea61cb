/**
 * Traffic of a workspace: sends calls at a rate, repeats them as callers do, and judges the answers.
 *
 * @packageDocumentation
 */
import * as Edge from '../../src/edge/index.ts'
import * as StandIns from '../../standins/index.ts'
import * as TestKit from '../../testkit/index.ts'
import type * as Statements from './statements.ts'

/** What a caller was told last. */
export type Ending = 'answered' | 'refused' | 'unknown' | 'lost'

/** One request and what came of it. */
export interface Request {
  readonly key: string | undefined
  ending: Ending | undefined
  /** Whether an answer was not the whole answer to this request. */
  wrong: boolean
  /** Whether a stream ended with neither an end mark nor an error. */
  cut: boolean
  /** Whether every reply said that the request was not run. */
  onlyRefused: boolean
}

/** Traffic that was started. */
export interface Traffic {
  readonly name: string
  readonly requests: readonly Request[]
  readonly done: Promise<void>
}

/** How traffic reaches the deployment. */
export interface TrafficOptions {
  readonly statement: Extract<Statements.Statement, { kind: 'traffic' }>
  readonly kind: 'engine' | 'plain'
  /** The port of the gateway that the balancer chooses next. */
  readonly nextPort: () => number
}

/** What traffic may be asked to be. */
export const TRAFFIC_OPTIONS = ['streaming', 'keyed', 'twice', 'persistent', 'long', 'poison'] as const

const MS_PER_SECOND = 1_000
const DEADLINE_MS = 4_000
const TOKEN_COUNT = 12
const LONG_TOKEN_COUNT = 150
const MAX_SEND_COUNT = 10
const REPEAT_AFTER_MS = 300
const MAX_GATEWAY_COUNT = 3

/**
 * Starts traffic.
 *
 * @param options - Rate, route and gateways.
 * @returns The traffic.
 */
export function startTraffic (options: TrafficOptions): Traffic {
  const { statement } = options
  const count = Math.max(1, Math.round(statement.ratePerSecond * statement.durationMs / MS_PER_SECOND))
  const requests: Request[] = []
  const send = async (index: number): Promise<void> => {
    await TestKit.Wait.sleep(index * MS_PER_SECOND / statement.ratePerSecond)
    const request: Request = { key: statement.options.includes('keyed') ? `${statement.name}-${index}` : undefined, ending: undefined, wrong: false, cut: false, onlyRefused: true }
    requests.push(request)
    const copies = statement.options.includes('twice') ? 2 : 1
    await Promise.all(Array.from({ length: copies }, async () => { await persist(options, request, index) }))
  }
  const done = Promise.all(Array.from({ length: count }, async (_, index) => { await send(index) })).then(() => {})
  return { name: statement.name, requests, done }
}

async function persist (options: TrafficOptions, request: Request, index: number): Promise<void> {
  const sendCount = options.statement.options.includes('persistent') ? MAX_SEND_COUNT : 1
  for (let sent = 0; sent < sendCount; sent++) {
    if (sent > 0) await TestKit.Wait.sleep(REPEAT_AFTER_MS)
    const ending = await sendOnce(options, request, index)
    if (request.ending !== 'answered') request.ending = ending
    if (ending !== 'refused') request.onlyRefused = false
    if (ending === 'answered') return
  }
}

async function sendOnce (options: TrafficOptions, request: Request, index: number): Promise<Ending> {
  const { statement, kind } = options
  const has = (option: string): boolean => statement.options.includes(option)
  const prompt = `${has('poison') ? 'poison ' : ''}${statement.name} ${index}`
  const tokenCount = has('long') ? LONG_TOKEN_COUNT : TOKEN_COUNT
  const body = kind === 'engine' ? { prompt, maxTokens: tokenCount, ...(has('streaming') ? { stream: true } : {}) } : { item: prompt }
  const hasBody = statement.method !== 'GET'
  try {
    const reply = await sendToAny(options, {
      method: statement.method,
      path: statement.path,
      workspace: statement.workspace,
      key: request.key,
      stream: has('streaming'),
      deadlineMs: DEADLINE_MS,
      ...(hasBody ? { body } : {})
    })
    const ending = endingOf(reply)
    if (ending !== 'answered') return ending
    const judge = kind === 'plain' ? isOwnAnswer : has('streaming') ? isWholeStream : isWholeText
    if (has('streaming') && reply.endVersion === undefined) request.cut = true
    if (!judge(reply, { prompt, tokenCount, key: request.key, body: hasBody ? JSON.stringify(body) : '' })) request.wrong = true
    return 'answered'
  } catch {
    return 'lost'
  }
}

/** The balancer passes over an entry instance that takes no connection. */
async function sendToAny (options: TrafficOptions, call: Omit<TestKit.Caller.Call, 'port'>): Promise<TestKit.Caller.Reply> {
  for (let tried = 1; ; tried++) {
    try {
      return await TestKit.Caller.send({ ...call, port: options.nextPort() })
    } catch (error) {
      const refused = error instanceof Edge.HttpClient.TransportError && !error.reachedServer
      if (!refused || tried >= MAX_GATEWAY_COUNT) throw error
    }
  }
}

function endingOf (reply: TestKit.Caller.Reply): Ending {
  if (reply.code === 0 && reply.status === 200) return 'answered'
  const run = reply.error?.run ?? reply.run
  return run === 'notRun' ? 'refused' : 'unknown'
}

interface Expected {
  readonly prompt: string
  readonly tokenCount: number
  readonly key: string | undefined
  readonly body: string
}

function tokensOf (version: string, { prompt, tokenCount }: Expected): string[] {
  return Array.from({ length: tokenCount }, (_, index) => StandIns.Engine.tokenOf(version, prompt, index))
}

function isWholeStream (reply: TestKit.Caller.Reply, expected: Expected): boolean {
  return reply.tokens.join(' ') === tokensOf(reply.endVersion ?? '', expected).join(' ')
}

function isWholeText (reply: TestKit.Caller.Reply, expected: Expected): boolean {
  return reply.json?.text === tokensOf(String(reply.json?.modelVersion), expected).join(' ')
}

/** A lookup must have been run for this very call; a keyed answer may be that of an earlier send. */
function isOwnAnswer (reply: TestKit.Caller.Reply, expected: Expected): boolean {
  if (reply.json?.echo !== expected.body.slice(0, 200)) return false
  return expected.key === undefined ? reply.json.callId === reply.headers['x-fescue-call-id'] : reply.json.key === expected.key
}
