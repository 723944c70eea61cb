/**
 * Client of the platform's lagging list of instances.
 *
 * @packageDocumentation
 */
import * as Neverthrow from 'neverthrow'
import * as HttpClient from '../edge/httpClient.ts'
import * as Schemas from '../schema/index.ts'

const decode = Schemas.Decode.lenient(Schemas.Platform.InstanceList)

/**
 * Reads the instance list.
 *
 * @param target - The service.
 * @param timeoutMs - Time for the exchange in milliseconds.
 * @returns The instances, or why there is no list.
 */
export async function listInstances (target: HttpClient.Target, timeoutMs: number): Promise<Neverthrow.Result<readonly Schemas.Platform.Instance[], string>> {
  try {
    const answer = await HttpClient.sendJson(target, 'GET', '/instances', undefined, timeoutMs)
    if (answer.status !== 200) return Neverthrow.err(`instance list answered ${answer.status}`)
    return decode(answer.value).map(list => list.instances).mapErr(Schemas.Decode.describe)
  } catch (error) {
    return Neverthrow.err((error as Error).message)
  }
}
