/**
 * Client of the platform's lagging list of instances.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as HttpClient from '../edge/httpClient.ts'
import * as Schemas from '../schema/index.ts'

const decode = Schemas.Decode.json(Schemas.Platform.InstanceList)

/** The instance list as read. */
export interface ListAnswer {
  readonly instances: readonly Schemas.Platform.Instance[]
  readonly sizeBytes: number
}

/**
 * Reads the instance list.
 *
 * @param target - The service.
 * @param timeoutMs - Time for the exchange in milliseconds.
 * @returns The instances, or why there is no list.
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
