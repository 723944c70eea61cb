/**
 * A TCP proxy whose open connections can go silent for good while new ones work.
 *
 * @packageDocumentation
 */
import * as Net from 'node:net'

/** A running proxy. */
export interface SilentProxy {
  readonly port: number
  /** Refuses new connections, as a port does when nothing listens on it. */
  refuse: () => void
  /** Takes connections, from now on to another port. */
  retarget: (port: number) => Promise<void>
  /** Stops all bytes on the connections that are open now, without closing them. */
  silence: () => number
  close: () => Promise<void>
}

/**
 * Starts a proxy to a port on loopback.
 *
 * @param targetPort - Where connections lead.
 * @returns The proxy.
 */
export async function createSilentProxy (targetPort: number): Promise<SilentProxy> {
  let target = targetPort
  const open = new Set<Net.Socket>()
  const server = Net.createServer(near => {
    const far = Net.connect(target, '127.0.0.1')
    for (const [from, to] of [[near, far], [far, near]] as const) {
      open.add(from)
      from.setNoDelay(true)
      from.pipe(to)
      from.on('error', () => { to.destroy() })
      from.on('close', () => {
        if (open.delete(from)) to.destroy()
      })
    }
  })
  const listen = async (port: number): Promise<void> => { await new Promise<void>(resolve => { server.listen(port, '127.0.0.1', resolve) }) }
  await listen(0)
  const { port } = server.address() as Net.AddressInfo
  const silent = new Set<Net.Socket>()
  return {
    port,
    refuse: () => { server.close() },
    retarget: async next => {
      target = next
      if (!server.listening) await listen(port)
    },
    silence: () => {
      const count = open.size / 2
      for (const socket of open) {
        socket.unpipe()
        socket.pause()
        silent.add(socket)
      }
      open.clear()
      return count
    },
    close: async () => {
      for (const socket of [...open, ...silent]) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => { resolve() }) })
    }
  }
}
