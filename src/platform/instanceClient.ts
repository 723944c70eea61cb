/**
 * Client of the platform's instance list, which lags behind the actual instances.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as HttpClient from '../edge/httpClient.ts'
import * as Schemas from '../schema/index.ts'

const decode = Schemas.Decode.json(Schemas.Platform.InstanceList)

/** Instance list with the size of the response. */
export interface ListAnswer {
  readonly instances: readonly Schemas.Platform.Instance[]
  readonly sizeBytes: number
}

/**
 * Reads the instance list.
 *
 * @param target - Address of the instance list.
 * @param timeoutMs - Timeout of the request in milliseconds.
 * @returns The instances, or the reason for the failure.
 */
export async function listInstances (target: HttpClient.Target, timeoutMs: number): Promise<Neverthrow.Result<ListAnswer, string>> {
  try {
    const answer = await HttpClient.send({ target, method: 'GET', path: '/instances', timeoutMs })
    if (answer.status !== 200) return Neverthrow.err(`instance list answered ${answer.status}`)
    const sizeBytes = answer.body.length
    return decode(answer.body.toString()).map(list => ({ instances: list.instances, sizeBytes })).mapErr(Schemas.Decode.describe)
  } catch (error) {
    return Neverthrow.err((error as Error).message)
  }
}
