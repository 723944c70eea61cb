/**
 * What commands share: the gateway to talk to and how to print.
 *
 * @packageDocumentation
 */
import type * as TrpcClient from '@trpc/client'
import * as Edge from '../edge/index.ts'
import type * as Changes from '../gateway/changes.ts'
import type * as Operators from '../gateway/operators.ts'

/** Options that every command takes. */
export interface CommonOptions {
  readonly gateway: string
  readonly token: string
  readonly json: boolean
  readonly timeoutMs: number
}

/** A client of a gateway's procedures. */
export type GatewayClient = TrpcClient.TRPCClient<Operators.GatewayRouter>

/** Exit codes of the program. */
export const EXIT = { ok: 0, failed: 1, invalid: 2, conflict: 3 } as const

/**
 * Connects to the gateway that the options name.
 *
 * @param options - The options.
 * @returns The client.
 */
export function connect (options: CommonOptions): GatewayClient {
  return Edge.Rpc.createClient<Operators.GatewayRouter>(Edge.HttpClient.targetOf(options.gateway), () => options.token, options.timeoutMs)
}

/**
 * Prints a result: one JSON object with `--json`, otherwise lines of text.
 *
 * @param options - The options.
 * @param value - The result.
 * @param lines - The same for a person to read.
 */
export function print (options: CommonOptions, value: unknown, lines: readonly string[]): void {
  process.stdout.write(options.json ? `${JSON.stringify(value)}\n` : `${lines.join('\n')}\n`)
}

/**
 * Prints the answer to a change.
 *
 * @param options - The options.
 * @param answer - The answer.
 * @param sentence - What to print when the change was accepted.
 * @returns The exit code.
 */
export function conclude (options: CommonOptions, answer: Changes.ChangeAnswer, sentence: string): number {
  print(options, answer, [answer.accepted ? sentence : `refused (${answer.code}): ${answer.message}`])
  if (answer.accepted) return EXIT.ok
  return answer.current === undefined ? EXIT.failed : EXIT.conflict
}
