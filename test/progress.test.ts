import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Client from '../src/ctl/client.ts'
import * as Progress from '../src/ctl/progress.ts'
import * as Edge from '../src/edge/index.ts'

const TOKEN = 'operator-token-1'
const IN_FORCE = { versions: { manifest: 3 } }
const servers: Edge.HttpServer.Server[] = []

interface Status {
  readonly plannedManifestVersion: number
  readonly assigned: ReadonlyArray<{ readonly state: string, readonly upToDate: boolean }>
}

/** A gateway whose manifest is in force everywhere; the last of the given statuses is repeated. */
async function startGateway (statuses: readonly Status[]) {
  let askedCount = 0
  const procedures = Edge.Rpc.router({
    status: Edge.Rpc.operatorProcedure.mutation(() => ({ gateways: [IN_FORCE], endpoints: [IN_FORCE], ...statuses[Math.min(askedCount++, statuses.length - 1)] }))
  })
  const guard = Edge.Auth.createGuard({ peerKeys: () => [], operatorTokens: () => [TOKEN] })
  const server = await Edge.HttpServer.listen({ host: '127.0.0.1', port: 0, headersTimeoutMs: 1_000, routes: [Edge.Rpc.createRpcRoute(procedures, guard, () => {})] })
  servers.push(server)
  return { options: { gateway: `127.0.0.1:${server.port}`, token: TOKEN, json: false, timeoutMs: 2_000 }, askedCount: () => askedCount }
}

describe('waitForManifest', () => {
  after(async () => { for (const server of servers) await server.close(0) })

  it('does not end before the plan of the manifest is made, although no endpoint is assigned that is not live', async () => {
    const unplanned = { plannedManifestVersion: 2, assigned: [] }
    const { options, askedCount } = await startGateway([unplanned, unplanned, unplanned, { plannedManifestVersion: 3, assigned: [{ state: 'live', upToDate: true }] }])
    expect(await Progress.waitForManifest(options, 3)).toEqual(Client.EXIT.ok)
    expect(askedCount() >= 4).toEqual(true)
  })

  it('fails when no plan of the manifest is made in time', async () => {
    const { options } = await startGateway([{ plannedManifestVersion: 0, assigned: [] }])
    expect(await Progress.waitForManifest({ ...options, timeoutMs: 600 }, 3)).toEqual(Client.EXIT.failed)
  })
})
