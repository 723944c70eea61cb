import * as Http from 'node:http'
import type * as Net from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Filling from '../src/filling/index.ts'
import * as Signals from '../src/ingress/signals.ts'
import * as Routing from '../src/routing/index.ts'
import * as Dialect from '../platform/dialect.ts'
import * as Engine from '../platform/engine.ts'
import * as Direct from '../testkit/direct.ts'

const BORN_MS = 7
const REPORT_MS = 100

/** A report of an engine that holds version 1 unless told otherwise. */
function reportOf (changes: Partial<Filling.Ports.EngineReport> = {}): Filling.Ports.EngineReport {
  return { activeCount: 0, queuedCount: 0, pace: 1, loading: false, weights: [{ model: 'm', version: 1 }], bornAtMs: BORN_MS, orderCount: 0, ...changes }
}

/** Loads of an engine whose reports are requested every 100 ms and arrive 10 ms later. */
function createPlay (): { readonly proofs: Filling.LoadProof.LoadProofs, readonly observe: (changes?: Partial<Filling.Ports.EngineReport>) => void, readonly nowMs: () => number } {
  const proofs = Filling.LoadProof.createLoadProofs()
  let clockMs = 0
  return {
    proofs,
    observe: changes => {
      clockMs += REPORT_MS
      proofs.observe(reportOf(changes), clockMs - 10, clockMs)
    },
    nowMs: () => clockMs
  }
}

describe('the loads of an engine', () => {
  it('need no proof while the engine has accepted no order in this start', () => {
    const { proofs, observe } = createPlay()
    observe()
    expect(proofs.unprovenLoad()).toEqual(undefined)
  })

  it('need none while the engine holds no layers', () => {
    const { proofs, observe } = createPlay()
    observe({ orderCount: 3, weights: [] })
    expect(proofs.unprovenLoad()).toEqual(undefined)
  })

  describe('of this process', () => {
    it('were accepted between the order and its answer', () => {
      const { proofs, observe } = createPlay()
      observe()
      proofs.recordOrder(2, 110)
      proofs.recordAnswer('accepted', 130)
      observe({ orderCount: 1, loading: true })
      expect(proofs.unprovenLoad()).toEqual({ version: 2, acceptedAfterMs: 110, acceptedByMs: 130 })
    })

    // Guards against an order that counts as taken at once although its answer was lost and the engine accepted it later.
    it('were accepted by the first report that counts the order if its answer was lost', () => {
      const { proofs, observe } = createPlay()
      observe()
      proofs.recordOrder(2, 110)
      proofs.recordAnswer('lost', 1_110)
      observe()
      expect(proofs.hasPendingOrder()).toEqual(true)
      observe({ orderCount: 1 })
      expect([proofs.hasPendingOrder(), proofs.unprovenLoad()]).toEqual([false, { version: undefined, acceptedAfterMs: 110, acceptedByMs: 300 }])
    })

    it('may have been accepted with the first of two orders under the same condition', () => {
      const { proofs, observe } = createPlay()
      observe()
      proofs.recordOrder(2, 110)
      proofs.recordAnswer('lost', 1_110)
      observe()
      proofs.recordOrder(2, 1_200)
      proofs.recordAnswer('refused', 1_210)
      observe({ orderCount: 1 })
      expect(proofs.unprovenLoad()?.acceptedAfterMs).toEqual(110)
    })

    // Guards against an order of an earlier process, accepted before the own one was sent, that counts as the own one: what was staged in between then passes for what it took.
    it('may have been accepted since the last report without it if the order was refused', () => {
      const { proofs, observe } = createPlay()
      observe()
      proofs.recordOrder(2, 150)
      proofs.recordAnswer('refused', 160)
      observe({ orderCount: 1 })
      expect(proofs.unprovenLoad()).toEqual({ version: undefined, acceptedAfterMs: 90, acceptedByMs: 200 })
    })

    // Guards against sound layers that are unloaded because a chunk was staged anew after an earlier order was refused.
    it('were not accepted before the order that the engine accepted was sent', () => {
      const { proofs, observe } = createPlay()
      observe()
      proofs.recordOrder(2, 110)
      proofs.recordAnswer('refused', 120)
      proofs.recordOrder(2, 1_700)
      proofs.recordAnswer('accepted', 1_710)
      observe({ orderCount: 1 })
      expect(proofs.unprovenLoad()?.acceptedAfterMs).toEqual(1_700)
    })

    // Guards against an order that was meant for an earlier start of the engine and counts as one that was checked.
    it('are unknown in another start of the engine', () => {
      const { proofs, observe } = createPlay()
      observe()
      proofs.recordOrder(2, 110)
      proofs.recordAnswer('accepted', 130)
      observe({ bornAtMs: BORN_MS + 1, orderCount: 1 })
      expect(proofs.unprovenLoad()).toEqual({ version: undefined, acceptedAfterMs: 90, acceptedByMs: 200 })
    })
  })

  describe('of an earlier process', () => {
    it('were accepted by the first report', () => {
      const { proofs, observe } = createPlay()
      observe({ orderCount: 1 })
      expect(proofs.unprovenLoad()).toEqual({ version: undefined, acceptedAfterMs: -Infinity, acceptedByMs: 100 })
    })

    it('were accepted after the request for the last report without the order', () => {
      const { proofs, observe } = createPlay()
      observe()
      observe({ orderCount: 1 })
      expect(proofs.unprovenLoad()).toEqual({ version: undefined, acceptedAfterMs: 90, acceptedByMs: 200 })
    })
  })

  describe('once proven', () => {
    it('stay proven until a further order', () => {
      const { proofs, observe } = createPlay()
      observe({ orderCount: 1 })
      proofs.recordProof({ bornAtMs: BORN_MS, orderCount: 1 })
      observe({ orderCount: 1 })
      expect(proofs.unprovenLoad()).toEqual(undefined)
      observe({ orderCount: 2 })
      expect(proofs.unprovenLoad()?.acceptedByMs).toEqual(300)
    })

    it('are not proven by what was said of another start', () => {
      const { proofs, observe } = createPlay()
      observe({ orderCount: 1 })
      proofs.recordProof({ bornAtMs: BORN_MS - 1, orderCount: 1 })
      expect(proofs.unprovenLoad() === undefined).toEqual(false)
    })
  })
})

describe('the weights of an endpoint', () => {
  const rowOf = (changes: Partial<Routing.Endpoints.Listing> = {}): Routing.Endpoints.EndpointRow =>
    Routing.Endpoints.applyListing(Direct.surroundingsOf([]).endpoints, Direct.listingOf('e1', changes), 0)
  const report = (row: Routing.Endpoints.EndpointRow, changes: Partial<Routing.Endpoints.LoadReport>): void => {
    Routing.Endpoints.applyLoadReport(row, { activeCount: 0, queuedCount: 0, pace: 1, loading: false, weights: [{ model: 'm', version: 1 }], ...changes }, 0, 0)
  }

  describe('beside which no agent is listed', () => {
    it('are used as the platform lists them', () => {
      expect(Routing.Endpoints.isProven(rowOf(), false)).toEqual(true)
    })
  })

  describe('beside which an agent is listed', () => {
    // Guards against calls on layers that an agent had loaded, and could not judge, before the gateway started.
    it('are not used before it has reported', () => {
      expect(Routing.Endpoints.isProven(rowOf(), true)).toEqual(false)
    })

    it('are used without an order in this start', () => {
      const row = rowOf()
      report(row, { orderCount: 0, provenOrderCount: 0 })
      expect(Routing.Endpoints.isProven(row, true)).toEqual(true)
    })

    it('are not used after an order until the load is proven', () => {
      const row = rowOf()
      report(row, { orderCount: 1 })
      expect(Routing.Endpoints.isProven(row, true)).toEqual(false)
      report(row, { orderCount: 1, provenOrderCount: 1 })
      expect(Routing.Endpoints.isProven(row, true)).toEqual(true)
    })

    it('stay in use when the agent has restarted and does not know of the proof', () => {
      const row = rowOf()
      report(row, { orderCount: 1, provenOrderCount: 1 })
      report(row, { orderCount: 1 })
      expect(Routing.Endpoints.isProven(row, true)).toEqual(true)
    })

    // Guards against an order that the engine accepted while its agent was paused.
    it('are not used if a newer version is listed than was reported', () => {
      const row = rowOf({ weights: [{ model: 'm', version: 2 }] })
      report(row, { orderCount: 0, provenOrderCount: 0 })
      expect(Routing.Endpoints.isProven(row, true)).toEqual(false)
    })

    // Guards against layers that a later start of the endpoint under the same id has loaded, at a gateway that is cut off from the store and knows the earlier start only.
    it('are not used once a later start was seen at the address, until the listed one reports again', () => {
      const row = rowOf({ bornAtMs: BORN_MS })
      report(row, { orderCount: 1, provenOrderCount: 1 })
      Routing.Endpoints.recordOtherStart(row, BORN_MS + 1, 0)
      expect(Routing.Endpoints.isProven(row, true)).toEqual(false)
      report(row, { orderCount: 1, provenOrderCount: 1 })
      expect(Routing.Endpoints.isProven(row, true)).toEqual(true)
    })

    it('are not judged by a report that arrives after a later one', () => {
      const row = rowOf()
      report(row, { orderCount: 2 })
      report(row, { orderCount: 1, provenOrderCount: 1 })
      expect(Routing.Endpoints.isProven(row, true)).toEqual(false)
    })
  })
})

describe('a call', () => {
  const requirements: Routing.Choice.CallRequirements = { service: Direct.ENGINE_SERVICE, model: 'm', promptTokens: 100, regions: [], triedIds: new Set() }

  // Guards against tokens from layers that are not known to be sound.
  it('is not sent to an endpoint whose last load is not proven', () => {
    const context = Direct.surroundingsOf([Direct.listingOf('e1'), Direct.listingOf('e2')], { isManaged: () => true })
    const report: Routing.Endpoints.LoadReport = { activeCount: 0, queuedCount: 0, pace: 1, loading: false, weights: [{ model: 'm', version: 1 }] }
    for (const row of context.endpoints.rows()) Routing.Endpoints.applyLoadReport(row, { ...report, orderCount: 1, ...(row.listing.endpointId === 'e2' ? { provenOrderCount: 1 } : {}) }, 0, 0)
    const candidates = Routing.Choice.findCandidates(requirements, context, 0)
    expect([candidates.map(({ row }) => row.listing.endpointId), Routing.Choice.countExcluded(requirements, context, 0)]).toEqual([['e2'], { unproven: 1 }])
  })

  // Guards against a call that begins on another version than the one for which its endpoint was chosen.
  it('names the version for which its endpoint was chosen, whatever its caller named', () => {
    const headers = Dialect.createDialect().forwardHeaders(['X-Fescuespread-Expect-Version', '9'], { endpointId: 'e1', workspace: undefined, leftMs: 1, lastEventId: undefined, weightsVersion: 2, bodyBytes: undefined })
    expect(headers.flatMap((name, at) => name === 'X-Fescuespread-Expect-Version' ? [headers[at + 1]] : [])).toEqual(['2'])
  })

  // Guards against a version from the list that hides what the agent has reported since.
  it('is placed by the version that the agent reported, not by an older entry of the list', () => {
    const { endpoints } = Direct.surroundingsOf([Direct.listingOf('e1')])
    for (const row of endpoints.rows()) Routing.Endpoints.applyLoadReport(row, { activeCount: 0, queuedCount: 0, pace: 1, loading: false, weights: [{ model: 'm', version: 2 }], orderCount: 1, provenOrderCount: 1 }, 0, 0)
    const row = Routing.Endpoints.applyListing(endpoints, Direct.listingOf('e1', { weights: [{ model: 'm', version: 1 }] }), 1)
    expect(Routing.Endpoints.findWeights(row, 'm')).toEqual({ model: 'm', version: 2 })
  })
})

describe('an order to an engine', () => {
  /** Sends an order to an engine that accepts it, and returns what the engine got. */
  const sent = async (order: (engine: Filling.Ports.Engine) => Promise<unknown>): Promise<unknown> => {
    let received: unknown
    const server = Http.createServer((request, response) => {
      const parts: Buffer[] = []
      request.on('data', (part: Buffer) => { parts.push(part) })
      request.on('end', () => {
        received = JSON.parse(Buffer.concat(parts).toString())
        response.writeHead(202, { connection: 'close' }).end()
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    await order(Engine.createEngine({ host: '127.0.0.1', port: (server.address() as Net.AddressInfo).port }))
    await new Promise(resolve => { server.close(resolve) })
    return received
  }

  // Guards against two orders that are both accepted, of which the first was counted as lost.
  it('to load is accepted only after as many orders as were counted', async () => {
    expect(await sent(async engine => await engine.loadStaged('m', 2, 'cutting', 3))).toEqual({ operation: 'start', model: 'm', version: 2, switch_mode: 'truncate', precondition: 3 })
  })

  it('to unload takes no chunks, and is accepted under the same condition', async () => {
    expect(await sent(async engine => await engine.unload('m', 1, 3))).toEqual({ operation: 'start', model: 'm', version: 1, switch_mode: 'queue', from: 0, target: 0, precondition: 3 })
  })
})

describe('an endpoint whose agent said that it is about to load', () => {
  // Guards against calls on layers that are not proven, after an agent that is paused or gone could no longer say so.
  it('gets no calls on the word of an answer', () => {
    const { endpoints, notices } = Direct.surroundingsOf([Direct.listingOf('e1')])
    const row = endpoints.get('e1')
    if (row === undefined) throw new Error('no row')
    const reader = Signals.createSignalReader({ notices: { ...notices, take: () => undefined }, random: Core.Random.createRandom(1), log: () => {}, onLimit: () => {} })
    Routing.Endpoints.applyLoadReport(row, { activeCount: 3, queuedCount: 0, pace: 1, loading: true, retiring: true, weights: [{ model: 'm', version: 1 }], orderCount: 0, provenOrderCount: 0 }, 0, 0)
    reader.applyState(row, { load: { activeCount: 2, queuedCount: 0 }, coldForMs: undefined, isSealed: true, isProvenNotRun: false, callId: undefined, weightsVersion: undefined, limitPerSecond: undefined, isLeaving: false, quietForMs: 0 }, 2 * Routing.Endpoints.LOAD_MAX_AGE_MS)
    expect([row.load?.loading, row.load?.retiring, row.load?.activeCount]).toEqual([true, true, 2])
  })
})
