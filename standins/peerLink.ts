/**
 * A link to an agent that may corrupt the chunks it carries, or stall.
 *
 * @packageDocumentation
 */
import * as Http from 'node:http'
import type * as Net from 'node:net'
import * as Core from '../src/core/index.ts'

/** Settings of a link. */
export interface PeerLinkOptions {
  /** The port of the agent behind it. */
  readonly agentPort: number
  readonly seed: number
  /** Share of chunks, from 0 to 1, that arrive with a wrong byte. */
  readonly corruptShare: number
}

/** A running link. */
export interface PeerLink {
  readonly port: number
  /** While stalled, connections stay open and carry nothing. */
  setStalled: (stalled: boolean) => void
  carriedCount: () => number
  corruptedCount: () => number
  close: () => void
}

/**
 * Starts a link.
 *
 * @param options - The agent and the faults.
 * @returns The link.
 */
export async function createPeerLink (options: PeerLinkOptions): Promise<PeerLink> {
  const random = Core.Random.createRandom(options.seed)
  const pool = new Http.Agent({ keepAlive: true })
  const held = new Set<() => void>()
  let stalled = false
  let carriedCount = 0
  let corruptedCount = 0

  const whenMoving = (work: () => void): void => {
    if (stalled) held.add(work)
    else work()
  }
  const relay = (incoming: Http.IncomingMessage, response: Http.ServerResponse, isChunk: boolean): void => {
    let wrong = isChunk && incoming.statusCode === 200 && random.next() < options.corruptShare
    if (isChunk && incoming.statusCode === 200) carriedCount++
    if (wrong) corruptedCount++
    response.writeHead(incoming.statusCode ?? 502, incoming.headers)
    incoming.on('data', (part: Buffer) => {
      if (wrong) part[0] = (part[0] ?? 0) ^ 0xff
      wrong = false
      incoming.pause()
      whenMoving(() => {
        if (response.write(part)) { incoming.resume(); return }
        response.once('drain', () => { incoming.resume() })
      })
    })
    incoming.on('end', () => { whenMoving(() => { response.end() }) })
    incoming.on('error', () => { response.destroy() })
  }
  const server = Http.createServer((request, response) => {
    whenMoving(() => {
      const outgoing = Http.request({ host: '127.0.0.1', port: options.agentPort, method: request.method, path: request.url, headers: request.headers, agent: pool })
      outgoing.on('response', incoming => { relay(incoming, response, request.url?.startsWith('/chunks/') === true) })
      outgoing.on('error', () => { response.destroy() })
      response.on('error', () => {})
      response.on('close', () => { outgoing.destroy() })
      request.pipe(outgoing)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as Net.AddressInfo).port,
    setStalled: next => {
      stalled = next
      if (stalled) return
      const works = [...held]
      held.clear()
      works.forEach(work => { work() })
    },
    carriedCount: () => carriedCount,
    corruptedCount: () => corruptedCount,
    close: () => {
      server.close()
      server.closeAllConnections()
      pool.destroy()
    }
  }
}
