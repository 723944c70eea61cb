/**
 * Client of a weight source: the weight store, the origin, or another agent.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as Core from '../core/index.ts'
import * as HttpClient from '../edge/httpClient.ts'
import * as Schemas from '../schema/index.ts'

/** Reason why a source returned no usable bytes. */
export type SourceFailure = 'unreachable' | 'absent' | 'throttled' | 'corrupted'

const decodeManifest = Schemas.Decode.json(Schemas.Weights.WeightManifest)

/** Weight manifest, and the bytes from which its digest is computed. */
export interface FetchedManifest {
  readonly manifest: Schemas.Weights.WeightManifest
  readonly bytes: Buffer
}

/**
 * Fetches a weight manifest and verifies its digest.
 *
 * @param target - Address of the source.
 * @param digest - The digest of the weight manifest.
 * @param timeoutMs - Timeout of the request in milliseconds.
 * @param headers - Headers that identify the requesting instance.
 * @returns The weight manifest and its bytes, or the reason for the failure.
 */
export async function fetchManifest (target: HttpClient.Target, digest: string, timeoutMs: number, headers: Readonly<Record<string, string>>): Promise<Neverthrow.Result<FetchedManifest, SourceFailure>> {
  const body = await fetchBytes(target, `/weights/${digest}`, timeoutMs, headers)
  return body.andThen(bytes => Core.Hash.sha256(bytes) !== digest
    ? Neverthrow.err<FetchedManifest, SourceFailure>('corrupted')
    : decodeManifest(bytes.toString()).map(manifest => ({ manifest, bytes })).mapErr((): SourceFailure => 'corrupted'))
}

async function fetchBytes (target: HttpClient.Target, path: string, timeoutMs: number, headers: Readonly<Record<string, string>>): Promise<Neverthrow.Result<Buffer, SourceFailure>> {
  try {
    const answer = await HttpClient.send({ target, method: 'GET', path, timeoutMs, headers })
    if (answer.status === 200) return Neverthrow.ok(answer.body)
    return Neverthrow.err(answer.status === 429 || answer.status === 503 ? 'throttled' : 'absent')
  } catch {
    return Neverthrow.err('unreachable')
  }
}
