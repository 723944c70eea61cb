/**
 * The command that explains a call from log files.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
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
 * Runs `explain CALL-ID --logs FILE…`.
 *
 * @param options - Common options, the id of the caller's attempt and the log files of all processes.
 * @returns The exit code.
 */
export function explain (options: Options & { callId: string, logs: readonly string[] }): number {
  const read = options.logs.map(file => parse(Fs.readFileSync(file, 'utf8')))
  const unreadCount = read.reduce((sum, file) => sum + file.unreadCount, 0)
  const story = Story.tell(read.flatMap(file => file.lines), options.callId)
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
