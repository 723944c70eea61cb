/**
 * Client of the platform's object store.
 *
 * @packageDocumentation
 */
import * as HttpClient from '../edge/httpClient.ts'

/** The object store as the system uses it. */
export interface ObjectClient {
  put: (name: string, body: Uint8Array) => Promise<boolean>
  get: (name: string) => Promise<Buffer | undefined>
}

/**
 * Creates a client.
 *
 * @param target - The service.
 * @param timeoutMs - Time for each call in milliseconds.
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
