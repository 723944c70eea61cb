/**
 * Client of the platform's object store.
 *
 * @packageDocumentation
 */
import * as HttpClient from '../edge/httpClient.ts'

/** Operations of the object store that the system uses. */
export interface ObjectClient {
  /** Returns whether the object store accepted the object. Throws if the request fails. */
  put: (name: string, body: Uint8Array) => Promise<boolean>
  /** Returns the object, or undefined if the status is not 200. Throws if the request fails. */
  get: (name: string) => Promise<Buffer | undefined>
}

/**
 * Creates a client of the object store.
 *
 * @param target - Address of the object store.
 * @param timeoutMs - Timeout of each call in milliseconds.
 * @returns The client.
 */
export function createObjectClient (target: HttpClient.Target, timeoutMs: number): ObjectClient {
  const path = (name: string): string => `/objects/${encodeURIComponent(name)}`
  return {
    put: async (name, body) => (await HttpClient.send({ target, method: 'PUT', path: path(name), body, timeoutMs })).status === 200,
    get: async name => {
      const answer = await HttpClient.send({ target, method: 'GET', path: path(name), timeoutMs })
      return answer.status === 200 ? answer.body : undefined
    }
  }
}
