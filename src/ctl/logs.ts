/**
 * The command that explains a call from log files.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Core from '../core/index.ts'
import * as Schemas from '../schema/index.ts'
import * as Client from './client.ts'
import * as Story from './story.ts'

type Options = Client.CommonOptions

const decode = Schemas.Decode.json(Schemas.LogLines.LogLine)

/**
 * Reads log lines. What stands before the first brace of a line is passed over, since collectors put times and names there.
 *
 * @param text - The text of a log.
 * @returns The lines that could be read, and how many could not.
 */
export function parse (text: string): { readonly lines: readonly Schemas.LogLines.LogLine[], readonly unreadCount: number } {
  const candidates = text.split('\n').flatMap(line => line.includes('{"level"') ? [line.slice(line.indexOf('{"level"'))] : [])
  const lines = candidates.flatMap(candidate => decode(candidate).match(line => [line], () => []))
  return { lines, unreadCount: candidates.length - lines.length }
}

/**
 * Draws calls at random.
 *
 * @param callIds - The calls.
 * @param count - How many at most.
 * @param seed - The same seed draws the same calls.
 * @returns The calls drawn.
 */
export function draw (callIds: readonly string[], count: number, seed: number): string[] {
  return Core.Hash.rendezvous(`${seed}`, callIds).slice(0, count)
}

/**
 * Runs `explain --logs FILE…` without a call's id: counts the causes of all calls that were not answered, and explains some of them.
 *
 * @param options - Common options, the log files, how many calls to explain and the seed that draws them.
 * @returns The exit code.
 */
export function survey (options: Options & { logs: readonly string[], sample: number, seed: number }): number {
  const { lines, unreadCount } = readAll(options.logs)
  const teller = Story.createTeller(lines)
  const callIds = teller.unservedIds()
  const stories = callIds.flatMap(callId => teller.tell(callId) ?? [])
  const counts = new Map<Story.Cause, number>()
  for (const { cause } of stories) counts.set(cause, (counts.get(cause) ?? 0) + 1)
  const drawn = new Set(draw(callIds, options.sample, options.seed))
  const sample = stories.filter(story => drawn.has(story.callId)).map(({ callId, cause, because, lines: told }) => ({ callId, timeMs: told.at(-1)?.time ?? 0, cause, because }))
  Client.print(options, { counts: Object.fromEntries(counts), unreadCount, sample }, [
    `${stories.length} calls not answered; ${unreadCount} lines could not be read`,
    ...[...counts].sort((a, b) => b[1] - a[1]).map(([cause, count]) => `${cause}\t${count}`),
    ...sample.map(({ callId, timeMs, cause, because }) => [new Date(timeMs).toISOString(), callId, cause, because].join('\t'))
  ])
  return Client.EXIT.ok
}

/**
 * Runs `explain CALL-ID --logs FILE…`.
 *
 * @param options - Common options, the id of the caller's attempt and the log files of all processes.
 * @returns The exit code.
 */
export function explain (options: Options & { callId: string, logs: readonly string[] }): number {
  const { lines, unreadCount } = readAll(options.logs)
  const story = Story.createTeller(lines).tell(options.callId)
  if (story === undefined) {
    Client.print(options, { callId: options.callId, found: false, unreadCount }, [`no line is about ${options.callId}; ${unreadCount} lines could not be read`])
    return Client.EXIT.failed
  }
  const startMs = story.lines[0]?.time ?? 0
  Client.print(options, { ...story, unreadCount }, [
    `${story.callId}: ${story.cause}: ${story.because}`,
    ...story.lines.map(line => Story.describe(line, startMs)),
    ...(story.around.length === 0 ? [] : ['around it:', ...story.around.map(line => Story.describe(line, startMs))]),
    `missing: ${[...story.missing, ...(unreadCount === 0 ? [] : [`${unreadCount} lines could not be read`])].join('; ') || 'nothing'}`
  ])
  return Client.EXIT.ok
}

function readAll (files: readonly string[]): { readonly lines: readonly Schemas.LogLines.LogLine[], readonly unreadCount: number } {
  const read = files.map(file => parse(Fs.readFileSync(file, 'utf8')))
  return { lines: read.flatMap(file => file.lines), unreadCount: read.reduce((sum, file) => sum + file.unreadCount, 0) }
}
