import { describe, it } from 'node:test'
import * as Net from 'node:net'
import { expect } from 'earl'
import * as Direct from '../testkit/direct.ts'
import * as TestKit from '../testkit/index.ts'

const WAIT_TIMEOUT_MS = 5_000

describe('an answer without a length that is reset', () => {
  for (const [when, delayMs] of [['together with its last bytes', 0], ['after its last bytes were read', 50]] as const) {
    it(`${when} does not look whole`, async () => {
      const sockets = new Set<Net.Socket>()
      const server = Net.createServer(socket => {
        sockets.add(socket)
        socket.on('error', () => {})
        socket.once('data', request => {
          const id = /x-fescuespread-attempt-id: (\S+)/i.exec(request.toString('latin1'))?.[1] ?? ''
          const reset = (): void => {
            if (delayMs === 0) socket.resetAndDestroy()
            else setTimeout(() => { socket.resetAndDestroy() }, delayMs)
          }
          socket.write(`HTTP/1.1 200 OK\r\nX-Fescuespread-Attempt-Id: ${id}\r\nX-Fescuespread-Response-Seal: s\r\n\r\nhalf`, reset)
        })
      })
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      const stage = await Direct.startDirectStage([{ instanceId: 'sound', service: 'plain' }])
      try {
        await TestKit.Wait.until('the gateway serves calls', WAIT_TIMEOUT_MS, async () => (await stage.call({ path: '/book/1' })).status === 200)
        stage.list({ ...stage.runners[0], instanceId: 'resetting', port: (server.address() as Net.AddressInfo).port } as Direct.DirectStage['runners'][number], { backend: 'plain' })
        stage.store.drop('servers', 'sound')
        let answer: Direct.CallAnswer | undefined
        await TestKit.Wait.until('the resetting endpoint gets a call', WAIT_TIMEOUT_MS, async () => {
          answer = await stage.call({ path: '/book/1' })
          return sockets.size > 0
        })
        expect(answer?.status).toEqual(502)
      } finally {
        for (const socket of sockets) socket.destroy()
        await new Promise(resolve => { server.close(resolve) })
        await stage.stop()
      }
    })
  }
})
