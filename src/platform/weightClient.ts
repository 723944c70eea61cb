/**
 * Client of a source of weights: the weight store, the origin, or another agent.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as Core from '../core/index.ts'
import * as HttpClient from '../edge/httpClient.ts'
import * as Schemas from '../schema/index.ts'

/** Why a source gave no usable bytes. */
export type SourceFailure = 'unreachable' | 'absent' | 'throttled' | 'corrupted'

const decodeManifest = Schemas.Decode.json(Schemas.Weights.WeightManifest)

/**
 * Fetches a weight manifest and verifies its digest.
 *
 * @param target - The source.
 * @param digest - The digest of the weight manifest.
 * @param timeoutMs - Time for the exchange in milliseconds.
 * @returns The manifest, or why there is none.
 */
export async function fetchManifest (target: HttpClient.Target, digest: string, timeoutMs: number): Promise<Neverthrow.Result<Schemas.Weights.WeightManifest, SourceFailure>> {
  const body = await fetchBytes(target, `/weights/${digest}`, timeoutMs, {})
  return body.andThen(bytes => Core.Hash.sha256(bytes) !== digest
    ? Neverthrow.err<Schemas.Weights.WeightManifest, SourceFailure>('corrupted')
    : decodeManifest(bytes.toString()).mapErr((): SourceFailure => 'corrupted'))
}

/**
 * Fetches a chunk and verifies its digest.
 *
 * @param target - The source.
 * @param digest - The digest of the chunk.
 * @param timeoutMs - Time for the exchange in milliseconds.
 * @param headers - Headers that name the asking instance.
 * @returns The chunk, or why there is none.
 */
export async function fetchChunk (target: HttpClient.Target, digest: string, timeoutMs: number, headers: Readonly<Record<string, string>>): Promise<Neverthrow.Result<Buffer, SourceFailure>> {
  const body = await fetchBytes(target, `/chunks/${digest}`, timeoutMs, headers)
  return body.andThen(bytes => Core.Hash.sha256(bytes) === digest ? Neverthrow.ok(bytes) : Neverthrow.err<Buffer, SourceFailure>('corrupted'))
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
