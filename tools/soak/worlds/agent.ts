/**
 * World of one agent: its loop between fake gateways and a fake endpoint that bears little when cold.
 *
 * @packageDocumentation
 */
import * as Agent from '../../../src/agent/index.ts'
import * as Control from '../../../src/control/index.ts'
import * as Core from '../../../src/core/index.ts'
import type * as Schemas from '../../../src/schema/index.ts'
import * as Weights from '../../../src/weights/index.ts'
import * as Deployment from '../deployment.ts'
import * as Endpoint from '../endpoint.ts'
import * as Harness from '../harness.ts'

const AGENT_ID = 'fescue-llm-1'
const ENDPOINT_POLL_MS = 200
const LOAD_MS = 150
const CHUNK_MS = 20
const CHUNK_COUNT = 5
const CHUNK_BYTES = 1_000
const WORK_MS = 300
/** How late the agent may learn of a fenced attempt's caller, in milliseconds. */
const DEADLINE_SLACK_MS = 500

interface Offer {
  readonly envelope: Schemas.Calls.CallEnvelope
  readonly deadlineMs: number
  admitted: boolean
  left: boolean
  refusedAs: Core.Codes.CodeName | undefined
  fencedAtMs: number | undefined
}

/**
 * Creates the world.
 *
 * @param harness - The run's harness.
 * @returns The world.
 */
export const createAgentWorld: Harness.WorldFactory = harness => {
  const { time } = harness
  const endpoint = Endpoint.createFakeEndpoint(harness, AGENT_ID, 'engine')
  const held = Control.Documents.createHeldDocuments()
  const identity = { instanceId: AGENT_ID, kind: 'agent' as const, zone: 'kartli', region: 'kartli', service: 'fescue-llm', incarnation: 'agent/1' }
  const weights = Weights.Tables.createTables({ ...identity, memoryBytes: Infinity, borderBytesPerSecond: Infinity }, [{ sourceId: 'origin', address: { host: 'origin', port: 1 }, crossesBorder: false }])
  const tables = Agent.Tables.createTables(identity, held, weights)
  const offers = new Map<string, Offer>()
  /** Chunks that the agent fetched, that the endpoint took at any time, and that it took in an incarnation. */
  const fetched = new Set<string>()
  const accepted = new Set<string>()
  const taken = new Set<string>()
  const documentVersions = { placement: 0, drains: 0 }
  let orderedFencing = 0
  let wantedVersion = 'v1'
  let silent = false
  let drainKnownAtMs = Infinity
  let knownIncarnation = ''
  let knownVersion: string | undefined
  let wholeSinceStart = 0
  let corruptedCount = 0
  let stalledUntilMs = 0

  const adopt = (document: Schemas.Control.Document): void => {
    if (held.adopt(document)) agent.push({ kind: 'document', document })
  }
  const plan = (version: string, fencingNumber: number): void => {
    adopt({ kind: 'placement', version: ++documentVersions.placement, body: Deployment.planOf(AGENT_ID, 'fescue-llm', version, fencingNumber) })
  }
  const start = (attemptId: string): void => {
    const offer = offers.get(attemptId)
    if (offer === undefined) return
    const { envelope } = offer
    offer.admitted = true
    const work = endpoint.run(envelope, WORK_MS, ended)
    if (work === undefined) return
    harness.expect('truthfulRefusal', offer.refusedAs === undefined && offer.fencedAtMs === undefined, () => ({ attemptId, refusedAs: offer.refusedAs, reason: 'a refused attempt was begun' }))
    harness.expect('startLimit', endpoint.activeCount() <= Deployment.WARM_LIMIT_COUNT, () => ({ activeCount: endpoint.activeCount(), reason: 'over the warm limit' }))
    const justStarted = knownIncarnation === work.incarnation && wholeSinceStart === 0
    harness.expect('startLimit', !justStarted || endpoint.activeCount() <= 1, () => ({ activeCount: endpoint.activeCount(), incarnation: work.incarnation, reason: 'more than one call before the first answer' }))
    harness.expect('leavingEndpoint', time.nowMs() - drainKnownAtMs < Deployment.KNOWN_DRAIN_BOUND_MS, () => ({ attemptId, drainKnownAtMs }))
    harness.expect('wholeWeights', envelope.modelVersion === undefined || envelope.modelVersion === knownVersion, () => ({ attemptId, wanted: envelope.modelVersion, knownVersion, reason: 'admitted for a version that the endpoint is known not to hold' }))
    harness.expect('atMostOnce', envelope.agentIncarnation === identity.incarnation, () => ({ attemptId, agentIncarnation: envelope.agentIncarnation, reason: 'meant for another incarnation of the agent' }))
    harness.expect('truthfulRefusal', time.nowMs() <= offer.deadlineMs + DEADLINE_SLACK_MS, () => ({ attemptId, reason: 'begun after its deadline' }))
    const begun = endpoint.startsByCall.get(envelope.callId) ?? 0
    harness.expect('atMostOnce', begun <= 1, () => ({ attemptId, begun }))
    if (envelope.path === '/poison') { harness.met('poisonCall'); crash() }
  }
  const ended = (work: Endpoint.Work, ending: Agent.Messages.Ending): void => {
    if (ending === 'whole' && work.incarnation === knownIncarnation) wholeSinceStart++
    agent.push({ kind: 'callEnded', attemptId: work.envelope.attemptId, ending })
  }
  const crash = (): void => { endpoint.crash() }
  const chunksOf = (digest: string): string[] => Array.from({ length: CHUNK_COUNT }, (_, index) => Core.Hash.sha256(`${digest} ${index}`))
  const pushWeights = (input: Weights.Messages.Input): void => { agent.push({ kind: 'weights', input }) }
  const endChunk = (command: Extract<Weights.Messages.Command, { kind: 'fetchChunk' }>): void => {
    const { fetchId, digest, chunkDigest } = command
    if (time.nowMs() < stalledUntilMs) {
      harness.met('linkStall')
      pushWeights({ kind: 'chunkFetched', fetchId, chunkDigest, ending: 'stalled', sizeBytes: 0 })
      return
    }
    if (corruptedCount > 0) {
      corruptedCount--
      harness.met('corruptedChunk')
      pushWeights({ kind: 'chunkFetched', fetchId, chunkDigest, ending: 'corrupted', sizeBytes: 0 })
      return
    }
    fetched.add(chunkDigest)
    pushWeights({ kind: 'chunkFetched', fetchId, chunkDigest, ending: 'whole', sizeBytes: CHUNK_BYTES })
    const missingAt = chunksOf(digest).findIndex(chunk => !fetched.has(chunk))
    pushWeights({ kind: 'chunksHashed', digest, hashedCount: missingAt < 0 ? CHUNK_COUNT : missingAt, wholeMatches: missingAt < 0 ? true : undefined })
  }
  const deliver = (command: Extract<Weights.Messages.Command, { kind: 'deliverChunk' }>): void => {
    const { digest, index, chunkDigest } = command
    const incarnation = endpoint.loadReport()?.incarnation
    harness.expect('wholeWeights', fetched.has(chunkDigest), () => ({ digest, index, reason: 'a chunk was handed over that was not verified' }))
    if (incarnation !== undefined) {
      accepted.add(chunkDigest)
      taken.add(`${incarnation} ${chunkDigest}`)
    }
    pushWeights({ kind: 'chunkDelivered', digest, index, accepted: incarnation !== undefined })
  }
  const weightsHandlers: { readonly [Kind in Weights.Messages.Command['kind']]?: (command: any) => void } = {
    fetchManifest: ({ digest, sourceId }) => {
      const manifest = { sizeBytes: CHUNK_COUNT * CHUNK_BYTES, chunkSizeBytes: CHUNK_BYTES, wholeDigest: digest, chunks: chunksOf(digest) }
      time.after(CHUNK_MS, () => { pushWeights({ kind: 'manifestFetched', digest, sourceId, manifest }) })
    },
    fetchChunk: command => { time.after(CHUNK_MS, () => { endChunk(command) }) },
    deliverChunk: command => { time.after(1, () => { deliver(command) }) },
    evictChunk: command => { fetched.delete(command.chunkDigest) }
  }
  const order = ({ order: given }: Extract<Agent.Messages.Command, { kind: 'order' }>): void => {
    const model = given.kind === 'load' ? given.model : undefined
    harness.expect('wholeWeights', model === undefined || chunksOf(model.digest).every(chunk => accepted.has(chunk)), () => ({ version: model?.version, reason: 'a load was ordered before the weights were whole' }))
    harness.expect('manifestRises', given.fencingNumber >= orderedFencing, () => ({ fencingNumber: given.fencingNumber, orderedFencing }))
    orderedFencing = Math.max(orderedFencing, given.fencingNumber)
    time.after(LOAD_MS, () => {
      const incarnation = endpoint.loadReport()?.incarnation
      const whole = model === undefined || chunksOf(model.digest).every(chunk => taken.has(`${String(incarnation)} ${chunk}`))
      if (whole) {
        endpoint.load(model)
        knownVersion = model?.version
      }
      agent.push({ kind: 'orderAnswered', order: given, answer: whole ? 'accepted' : 'notWhole' })
    })
  }
  const perform: Core.Loop.Handlers<Agent.Messages.Command> = {
    admit: command => { start(command.attemptId) },
    refuse: command => {
      const offer = offers.get(command.attemptId)
      if (offer === undefined) return
      offer.refusedAs = command.refusal.code
      harness.expect('truthfulRefusal', !endpoint.startsByCall.has(offer.envelope.callId), () => ({ attemptId: command.attemptId, code: command.refusal.code, reason: 'a begun attempt was refused' }))
    },
    cancel: command => { endpoint.cancel(command.attemptId) },
    answerFence: command => {
      const offer = offers.get(command.askId)
      if (command.answer.state !== 'neverRun' || offer === undefined) return
      offer.fencedAtMs = time.nowMs()
      harness.expect('truthfulRefusal', !endpoint.startsByCall.has(offer.envelope.callId), () => ({ attemptId: command.askId, reason: 'neverRun was said of a begun attempt' }))
    },
    weights: ({ command }) => { weightsHandlers[command.kind]?.(command) },
    order
  }
  const agent = Harness.startProcess<Agent.Tables.Tables, Agent.Messages.Input, Agent.Messages.Command>({
    harness,
    tables,
    systems: Agent.Systems.SYSTEMS,
    perform: command => { Core.Loop.dispatch(perform as Core.Loop.Handlers<Agent.Messages.Command>, command) }
  })
  const see = (): void => {
    const load = silent ? undefined : endpoint.loadReport()
    if (load !== undefined && load.incarnation !== knownIncarnation) { knownIncarnation = load.incarnation; wholeSinceStart = 0 }
    knownVersion = load === undefined ? knownVersion : load.modelVersion
    agent.push({ kind: 'endpointSeen', load })
    time.after(ENDPOINT_POLL_MS, see)
  }
  const offer = (amount: number, change: Partial<Schemas.Calls.CallEnvelope> = {}): void => {
    const envelope: Schemas.Calls.CallEnvelope = {
      callId: harness.makeId(),
      attemptId: harness.makeId(),
      gatewayId: `gateway-${amount % 2}`,
      workspace: `operator-${amount % 2 + 1}`,
      service: 'fescue-llm',
      method: 'POST',
      path: '/v1/drafts',
      modelVersion: endpoint.loadReport().modelVersion,
      timeLeftMs: 200 + amount * 40,
      priority: amount % 3,
      idempotent: true,
      stream: false,
      resumeFromIndex: 0,
      digest: Core.Hash.sha256(`body ${amount}`),
      expiresAtMs: time.nowMs() + 200 + amount * 40,
      agentIncarnation: identity.incarnation,
      ...change
    }
    offers.set(envelope.attemptId, { envelope, deadlineMs: time.nowMs() + envelope.timeLeftMs, admitted: false, left: false, refusedAs: undefined, fencedAtMs: undefined })
    agent.push({ kind: 'callOffered', envelope })
  }
  adopt({ kind: 'manifest', version: 1, body: Deployment.manifestOf('v1') })
  plan('v1', 1)
  see()

  return {
    actions: {
      offer,
      offerMany: amount => { for (let index = 0; index < 3 + amount % 12; index++) offer(amount + index) },
      offerStale: amount => { offer(amount, { agentIncarnation: 'agent/0' }) },
      offerKeyed: amount => { offer(amount, { idempotent: false, claimKey: harness.makeId() }) },
      offerResumed: amount => { offer(amount, { stream: true, resumeFromIndex: 1 + amount }) },
      callerLeaves: amount => {
        const attemptId = [...offers.keys()][amount % Math.max(1, offers.size)]
        const offered = attemptId === undefined ? undefined : offers.get(attemptId)
        if (attemptId === undefined || offered === undefined) return
        offered.left = true
        agent.push({ kind: 'callerGone', attemptId })
      },
      fence: amount => {
        const covered = [...offers.values()].filter(offered => offered.envelope.claimKey !== undefined)
        const attemptId = covered.at(-1 - amount % 6)?.envelope.attemptId
        if (attemptId !== undefined) agent.push({ kind: 'fenceAsked', askId: attemptId, question: { attemptId, agentIncarnation: identity.incarnation, expiresAtMs: offers.get(attemptId)?.envelope.expiresAtMs, fence: amount % 2 === 0 } })
      },
      drain: amount => {
        const zones = amount % 2 === 0 ? ['kartli'] : []
        drainKnownAtMs = zones.length > 0 ? Math.min(drainKnownAtMs, time.nowMs()) : Infinity
        adopt({ kind: 'drains', version: ++documentVersions.drains, body: { zones, instanceIds: [] } })
      },
      stalePlan: amount => { plan(amount % 2 === 0 ? 'v1' : 'v2', 1) },
      versionChange: amount => {
        harness.met('versionChange')
        wantedVersion = wantedVersion === 'v1' ? 'v2' : 'v1'
        plan(wantedVersion, 2 + documentVersions.placement)
        if (amount % 2 === 0) offer(amount)
      },
      coldTurn: amount => {
        harness.met('coldTurn')
        endpoint.turnCold(500 + amount * 20)
      },
      instanceDeath: () => {
        harness.met('instanceDeath')
        crash()
      },
      linkStall: amount => { stalledUntilMs = time.nowMs() + amount * 20 },
      corruptedChunk: amount => { corruptedCount += 1 + amount % 4 },
      poisonCall: amount => { offer(amount, { path: '/poison', digest: Core.Hash.sha256('poison') }) },
      silentConnection: amount => {
        harness.met('silentConnection')
        silent = true
        time.after(500 + amount * 40, () => { silent = false })
      }
    },
    finish: () => {
      for (const [attemptId, offered] of offers) {
        const settled = offered.refusedAs !== undefined || offered.admitted || offered.left
        harness.expect('truthfulRefusal', settled, () => ({ attemptId, reason: 'an attempt was neither begun nor refused' }))
      }
    }
  }
}
