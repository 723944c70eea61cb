import * as Http from 'node:http'
import type * as Net from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Control from '../src/control/index.ts'

const PIECE_COUNT = 7
const PIECE_MS = 500

describe('documents of the control plane', () => {
  const zones = Array.from({ length: 1_000 }, (_, at) => `zone-${at}`)
  const text = JSON.stringify({ result: { versions: { ...Control.Documents.NO_VERSIONS, drains: 1 }, documents: [{ kind: 'drains', version: 1, body: { zones, instanceIds: [] } }] } })
  let server: Http.Server
  beforeEach(async () => {
    server = Http.createServer((request, response) => {
      request.resume()
      const pieceLength = Math.ceil(text.length / PIECE_COUNT)
      const write = (at: number): void => {
        if (at >= text.length) { response.end(); return }
        response.write(text.slice(at, at + pieceLength))
        setTimeout(() => { write(at + pieceLength) }, PIECE_MS)
      }
      write(0)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  })
  afterEach(async () => {
    server.closeAllConnections()
    await new Promise(resolve => { server.close(resolve) })
  })

  it('are pulled from another process however long they take, as long as bytes arrive', async () => {
    const target = { host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port }
    const answer = await Control.Peers.createClient(() => 'key').pull(target, Control.Documents.NO_VERSIONS)
    expect(answer?.documents.map(({ kind, version }) => [kind, version])).toEqual([['drains', 1]])
  })
})
