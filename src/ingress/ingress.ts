/**
 * Accepts callers' calls, sends them to endpoints and passes the answers back.
 *
 * The decisions are made in `routing`; this module reads and writes sockets.
 *
 * @packageDocumentation
 */
import type * as Http from 'node:http'
import * as Core from '../core/index.ts'
import type * as Metrics from '../edge/metrics.ts'
import * as ByteCollector from '../edge/byteCollector.ts'
import type * as ClientMemory from '../edge/clientMemory.ts'
import * as Faults from '../edge/faults.ts'
import * as MessageHeads from '../edge/messageHeads.ts'
import * as RequestBodies from '../edge/requestBodies.ts'
import * as Routing from '../routing/index.ts'
import * as Bodies from './bodies.ts'
import type * as Calls from './calls.ts'
import type * as Dialect from './dialect.ts'
import * as Digests from './digests.ts'
import * as Events from './events.ts'
import * as LogFields from './logFields.ts'
import type * as Quarantine from './quarantine.ts'
import * as Replies from './replies.ts'
import * as Signals from './signals.ts'
import * as UnframedAnswers from './unframedAnswers.ts'
import type * as Upstream from './upstream.ts'

/** Dependencies of the ingress. */
export interface IngressOptions extends Pick<Signals.SignalReaderOptions, 'onLimit'> {
  readonly dialect: Dialect.Dialect
  readonly upstream: Upstream.Upstream
  /** Returns the deployment in force; undefined before one was read. */
  readonly deploymentIndex: () => Routing.Deployment.DeploymentIndex | undefined
  /** Whether a newer deployment than the one in force here is known to exist. */
  readonly isDeploymentOutdated: () => boolean
  /** Returns what routing decisions are based on. */
  readonly routingContext: () => Routing.Choice.RoutingContext
  /** Returns the oldest version of a model on which a call that was already sent may still begin. */
  readonly oldestStartableVersionOf: (model: string) => number
  readonly budget: Routing.Budgets.RetryBudget
  readonly demand: Routing.Demand.Demand
  readonly rankShares: Routing.Ranks.RankShares
  /** Accounts for what is held for callers. */
  readonly clientMemory: ClientMemory.ClientMemory
  /** Called when a call's body arrives in very small parts. */
  readonly onSmallParts: RequestBodies.BodyReadOptions['onSmallParts']
  /** What endpoints announced to this gateway: that they are shutting down, or want no calls for a while. */
  readonly notices: Routing.Notices.Notices
  /** Quarantine of requests that crash endpoints. */
  readonly quarantine: Pick<Quarantine.Quarantine, 'isEmpty' | 'actionOf' | 'isSuspected' | 'quarantinedPartsOf' | 'wasCutAt' | 'recordInterruption' | 'recordAbandoned' | 'recordEndpointEnd' | 'recordProbe' | 'mayRepeatProbe' | 'recordAnswered'>
  readonly clock: () => number
  readonly random: Core.Random.Random
  readonly metrics: Metrics.Metrics
  readonly log: Core.Loop.Tick<never, never>['log']
  /** Whether the process is shutting down, so that callers have to use other connections. */
  readonly isStopping: () => boolean
  /** Time by which calls that are taken from now on have to end, in milliseconds; Infinity unless the process is about to end. */
  readonly callsEndByMs: () => number
}

/** The part of a gateway that handles callers' calls. */
export interface Ingress {
  handle: (request: Http.IncomingMessage, response: Http.ServerResponse) => void
  /** Tries waiting calls again, soon; to be called when endpoints may have capacity again. */
  retryWaiting: () => void
  /** Records that a start of an endpoint has ended. */
  recordEndpointEnd: (row: Routing.Endpoints.EndpointRow) => void
  /** Number of calls that have not ended. */
  activeCount: () => number
  /** Ends all calls that still run, each with a whole answer where none has begun. */
  endCalls: () => void
  stop: () => void
}

/** Interval between checks for silent endpoints and for waiting calls, in milliseconds. */
const TICK_INTERVAL_MS = 25
/** Maximum idle time of a connection for a call that may be repeated, in milliseconds. */
const MAX_IDLE_MS = 4_000
/** Maximum idle time of a connection for a call that must not be repeated, in milliseconds: endpoints close idle connections, and a call sent at that moment is lost. */
const NON_IDEMPOTENT_MAX_IDLE_MS = 800
/** Time after a call's deadline at which the gateway itself answers, in milliseconds: an endpoint's answer after the deadline would be of no use. */
const DEADLINE_GRACE_MS = 20
/** Maximum time from the choice of an endpoint until the call is written to a new connection, in milliseconds: longer than a connection takes to open, unless this process stood still meanwhile. */
const SEND_DELAY_LIMIT_MS = 500
/** Time for which calls are held after a standstill of this process, in milliseconds: changes and the closes of callers' connections that arrived meanwhile are read first. */
const CATCH_UP_MS = 50
/** Maximum size of an answer that is not streamed, in bytes: an instance has some 220 MB, and several such answers may arrive at once. */
const ANSWER_LIMIT_BYTES = 4 * 1024 * 1024
/** Maximum size of an event of a stream, in bytes: an event holds a few tokens. */
const EVENT_LIMIT_BYTES = 1024 * 1024
/** Methods whose calls are sent without a content length if they have no body. */
const BODILESS_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS'])
/** Log messages for the ends of calls. */
const END_SENTENCES = {
  answered: 'Call answered.',
  refused: 'Call refused.',
  failed: 'Call failed.',
  failedByEndpoint: 'Failure passed on.',
  cancelled: 'Call cancelled.'
} as const
/** Maximum number of refused calls that are remembered for a connection. */
const REFUSED_LIMIT_COUNT = 64
/** Statuses that promise the caller that its call was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/**
 * Creates the ingress.
 *
 * @param options - Dependencies.
 * @returns The ingress, with its timer running until `stop` is called.
 */
export function createIngress (options: IngressOptions): Ingress {
  const { dialect, upstream, quarantine, clock, random, metrics, log } = options
  const calls = new Set<Calls.Call>()
  const waiting = Routing.Waiting.createWaitingQueue<Calls.Call>()
  const ages = Routing.Ages.createCallAges()
  const crowding = Routing.Crowding.createCrowding()
  const { rankShares } = options
  const signals = Signals.createSignalReader(options)
  const unframedAnswers = UnframedAnswers.createUnframedAnswers()
  const standstill = Routing.Standstill.createPauseDetector(TICK_INTERVAL_MS, clock())
  const { write, writeEndpointAnswer, withConnectionHeader } = Replies.createReplies(options.isStopping)
  const faults = Faults.createFaults(options)
  let isPlacingScheduled = false
  let caughtUpAtMs = -Infinity

  /** Runs the work for one call: an unexpected error in it ends that call alone. */
  const containCall = (call: Calls.Call, work: () => void): void => { faults.contain('call', work, () => { endFaulty(call) }) }
  const endFaulty = (call: Calls.Call): void => {
    faults.contain('call', () => { if (!call.done) finish(call, 'failed', { status: 502, code: 'outcomeUnknown', answering: call.stream !== undefined, ...abandonAttempt(call) }) })
    answerFaulty(call.response, call.metadata)
  }
  /** Ends an answer after an unexpected error. Its request may have been run. */
  const answerFaulty = (response: Http.ServerResponse, metadata: Dialect.CallMetadata): void => {
    if (response.headersSent) response.destroy()
    else write(response, 502, dialect.refusalHeaders(metadata.callId, undefined), 'outcomeUnknown')
  }

  const handle = (request: Http.IncomingMessage, response: Http.ServerResponse): void => {
    request.on('error', () => {})
    response.on('error', () => {})
    const metadata = dialect.readCall(request.headers)
    faults.contain('request', () => { handleRequest(request, response, metadata) }, () => { answerFaulty(response, metadata) })
  }
  const handleRequest = (request: Http.IncomingMessage, response: Http.ServerResponse, metadata: Dialect.CallMetadata): void => {
    // Endpoints would seem to fail on a request that cannot be sent to any of them.
    if (MessageHeads.problemOfRequest(request.url ?? '/', request.rawHeaders) !== undefined) { deny(request, response, metadata, 'badRequest'); return }
    const index = options.deploymentIndex()
    if (index === undefined) { refuseEarly(request, response, metadata, 'notReady'); return }
    const arrivedAtMs = clock()
    const [path = '/'] = (request.url ?? '/').split('?', 1)
    const route = index.routeOf((request.headers.host ?? '').split(':', 1)[0] ?? '', path)
    if (route === undefined) { denyByDeployment(request, response, metadata, 'routeUnknown'); return }
    const workspace = metadata.apiKey === undefined ? undefined : index.workspaceOf(metadata.apiKey)
    if (workspace === undefined && index.deployment.workspaces !== undefined && !route.anonymous) { denyByDeployment(request, response, metadata, 'unauthorized'); return }
    const deadlineAtMs = arrivedAtMs + Math.min(metadata.deadlineMs ?? route.timeoutMs, route.timeoutMs)
    RequestBodies.read(request, { limitBytes: index.deployment.limits.bodyBytes, deadlineAtMs, memory: options.clientMemory, clock, onSmallParts: options.onSmallParts }, (body, holding) => {
      if (typeof body === 'string') { endUnread[body](request, response, metadata); return }
      response.once('close', holding.release)
      faults.contain('request', () => { accept(index, { metadata, route, workspace, request, response, body, arrivedAtMs }) }, () => { answerFaulty(response, metadata) })
    })
  }

  /** Ends the calls whose bodies could not be read. They were not run. */
  const endUnread: Readonly<Record<RequestBodies.BodyFailure, (request: Http.IncomingMessage, response: Http.ServerResponse, metadata: Dialect.CallMetadata) => void>> = {
    tooLarge: (request, response, metadata) => { deny(request, response, metadata, 'bodyTooLarge') },
    tooSlow: (request, response, metadata) => { deny(request, response, metadata, 'bodyTooSlow') },
    noRoom: (request, response, metadata) => { refuseEarly(request, response, metadata, 'noMemory') },
    gone: () => {}
  }

  const refuseEarly = (request: Http.IncomingMessage, response: Http.ServerResponse, metadata: Dialect.CallMetadata, reason: Routing.Admission.RefusalReason): void => {
    request.resume()
    const returnMs = Routing.Refusals.returnAfterMs(reason, metadata.deadlineMs ?? 0, random)
    log('routing', 'Call refused.', { callId: metadata.callId, reason, returnAfterMs: Math.round(returnMs) })
    metrics.count('calls_refused_total', { reason })
    write(response, 503, { ...dialect.refusalHeaders(metadata.callId, returnMs), ...(reason === 'noMemory' ? { connection: 'close' } : {}) }, reason)
  }

  const deny = (request: Http.IncomingMessage, response: Http.ServerResponse, metadata: Dialect.CallMetadata, code: Core.Codes.CodeName): void => {
    request.resume()
    const version = options.deploymentIndex()?.deployment.version
    log('routing', 'Call denied.', { callId: metadata.callId, code, host: request.headers.host, path: request.url, deploymentVersion: version })
    metrics.count('calls_denied_total', { code })
    const closing: Record<string, string> = code === 'bodyTooLarge' || code === 'bodyTooSlow' ? { connection: 'close' } : {}
    write(response, Core.Codes.CODES[code].httpStatus, { ...dialect.refusalHeaders(metadata.callId, undefined), ...closing }, code)
  }

  /** Denies a call that the deployment does not allow. While a newer one is known to exist, which may allow it, the call is refused for now. */
  const denyByDeployment: typeof deny = (request, response, metadata, code) => {
    if (options.isDeploymentOutdated()) refuseEarly(request, response, metadata, 'outdated')
    else deny(request, response, metadata, code)
  }

  const accept = (index: Routing.Deployment.DeploymentIndex, arrival: Pick<Calls.Call, 'metadata' | 'route' | 'workspace' | 'request' | 'response' | 'body' | 'arrivedAtMs'>): void => {
    const { metadata, route, workspace, response, arrivedAtMs } = arrival
    const nowMs = clock()
    const service = index.serviceOf(Routing.Deployment.chooseTarget(route, random.next()))
    const deadlineMs = metadata.deadlineMs ?? route.timeoutMs
    const ageAtArrivalMs = metadata.deadlineMs === undefined ? 0 : ages.estimateAgeMs(route.name, metadata.deadlineMs)
    const deadlineAtMs = arrivedAtMs + Math.min(deadlineMs, route.timeoutMs)
    if (deadlineAtMs > options.callsEndByMs()) { refuseEarly(arrival.request, response, metadata, 'stopping'); return }
    if (service === undefined) { refuseEarly(arrival.request, response, metadata, 'noEndpoint'); return }
    const rank = Routing.Ranks.rankOf(index.ranksOf(service.name), { workspacePriority: workspace?.priority ?? route.priority, routePriority: route.priority })
    const call: Calls.Call = {
      ...arrival,
      callId: metadata.callId ?? '',
      service: service.name,
      requirements: {
        service,
        model: metadata.model,
        promptTokens: metadata.promptTokens,
        rank,
        regions: [route.regions, workspace?.regions ?? []],
        triedIds: new Set()
      },
      rank,
      priority: workspace?.priority ?? route.priority,
      ageAtArrivalMs,
      deadlineAtMs,
      resuming: false,
      late: ageAtArrivalMs > route.goalMs,
      waitingSinceMs: nowMs,
      attempt: undefined,
      stalledAttempt: undefined,
      attemptCount: 0,
      possibleRunCount: 0,
      failure: undefined,
      keys: undefined,
      probe: undefined,
      stream: undefined,
      lastEventId: metadata.lastEventId,
      eventCount: 0,
      firstEventAtMs: 0,
      lastEventAtMs: 0,
      longestPauseMs: 0,
      done: false,
      deadlineTimer: undefined
    }
    calls.add(call)
    options.budget.recordCall(service.name, nowMs)
    options.demand.recordCall(nowMs)
    response.once('close', () => { if (!call.done) containCall(call, () => { cancel(call) }) })
    call.deadlineTimer = setTimeout(() => { containCall(call, () => { onDeadlineTimer(call) }) }, Math.max(0, deadlineAtMs - nowMs + DEADLINE_GRACE_MS))
    containCall(call, () => { placeOnceCaughtUp(call) })
  }

  /** Places a call, after a standstill of this process only once what arrived meanwhile was read. */
  const placeOnceCaughtUp = (call: Calls.Call): void => {
    if (isCaughtUp(clock())) { place(call); return }
    waiting.add(call)
    retryWaiting()
  }

  const choose = ({ engine }: Routing.Deployment.Service, candidates: readonly Routing.Choice.Candidate[], context: Routing.Choice.RoutingContext, nowMs: number): Routing.Choice.Candidate | undefined =>
    engine !== undefined && Routing.SlotShares.areByDemand(context.gatewayCount, engine.slotCount)
      ? Routing.Choice.chooseAmongMany(candidates, engine, context, random, nowMs)
      : Routing.Choice.choose(candidates, random)

  /** Chooses the endpoint for a probe. Starts that the request crashed may still be listed and look idle, and would refuse the probe. */
  const chooseForProbe = (call: Calls.Call, candidates: readonly Routing.Choice.Candidate[], nowMs: number): Routing.Choice.Candidate | undefined => {
    const uncut = candidates.filter(({ row }) => !quarantine.wasCutAt(keysOf(call), row.listing))
    return Routing.Choice.leastBusy(uncut.length > 0 ? uncut : candidates, nowMs)
  }

  /** Sends a call, queues it or refuses it. */
  const place = (call: Calls.Call): void => {
    const nowMs = clock()
    const quarantineAction = call.probe === undefined ? quarantineActionOf(call) : repeatActionOf(call, call.probe)
    if (quarantineAction === 'keepBack') {
      waiting.remove(call)
      if (call.possibleRunCount > 0 || call.failure !== undefined) endUnanswered(call, 'quarantined')
      else refuse(call, 'quarantined', { ...requestFields(call), quarantinedParts: quarantine.quarantinedPartsOf(keysOf(call)) })
      return
    }
    const context = options.routingContext()
    call.late = call.ageAtArrivalMs + nowMs - call.arrivedAtMs > call.route.goalMs
    const candidates = Routing.Choice.findCandidates(call.requirements, context, nowMs)
    const best = quarantineAction === 'try' ? chooseForProbe(call, candidates, nowMs) : choose(call.requirements.service, candidates, context, nowMs)
    const opensInMs = best === undefined ? Routing.Choice.opensInMs(call.requirements, context, nowMs, call.route.goalMs) : undefined
    const admissionInput: Routing.Admission.PendingCall = {
      ageMs: call.ageAtArrivalMs + nowMs - call.arrivedAtMs,
      waitedMs: nowMs - call.waitingSinceMs,
      goalMs: call.route.goalMs,
      leftMs: call.deadlineAtMs - nowMs,
      resuming: call.resuming,
      isCrowded: crowding.isCrowded(call.service, nowMs, call.rank),
      isOutranked: crowding.isOutranked(call.service, nowMs, call.rank, call.late),
      rank: call.rank
    }
    const slotIntervalMs = opensInMs ?? Routing.Choice.slotIntervalMs(call.requirements.service, candidates.length, context.gatewayCount)
    const decision = Routing.Admission.decide(admissionInput, best, { aheadCount: waiting.aheadCount(call), slotIntervalMs }, candidates.length > 0 || opensInMs !== undefined)
    if (call.rank !== undefined && !call.late && !(decision.kind === 'send' && decision.candidate.hasFreeSlot)) crowding.recordPressure(call.service, nowMs, call.rank)
    if (decision.kind === 'send') {
      waiting.remove(call)
      if (quarantineAction === 'try') {
        call.probe ??= { sentAtMs: nowMs, refusedCount: 0 }
        quarantine.recordProbe(keysOf(call), call.probe)
      }
      send(call, decision.candidate, nowMs)
    } else if (decision.kind === 'wait') {
      if (admissionInput.waitedMs === 0) log('routing', 'Call waits.', { callId: call.callId, service: call.service, aheadCount: waiting.aheadCount(call), bestMs: best === undefined ? undefined : Math.round(best.predictedMs), goalMs: call.route.goalMs })
      waiting.add(call)
    } else {
      waiting.remove(call)
      if (decision.reason === 'overCapacity' && !call.late) crowding.recordRefusal(call.service, nowMs, call.rank)
      if (call.possibleRunCount > 0 || call.failure !== undefined) endUnanswered(call, decision.reason)
      else refuse(call, decision.reason, LogFields.refusedFields(call, { admissionInput, candidates, best }, context, nowMs))
    }
  }

  const placeWaiting = (): void => {
    isPlacingScheduled = false
    adjustForStandstill(clock())
    for (const call of waiting.inOrder()) if (!call.done && call.attempt === undefined) containCall(call, () => { place(call) })
  }
  const retryWaiting = (): void => {
    if (isPlacingScheduled || waiting.count() === 0) return
    isPlacingScheduled = true
    setImmediate(() => {
      if (isCaughtUp(clock())) placeWaiting()
      else setTimeout(placeWaiting, CATCH_UP_MS)
    })
  }

  const send = (call: Calls.Call, candidate: Routing.Choice.Candidate, nowMs: number): void => {
    const { row } = candidate
    const { listing } = row
    const leftMs = Math.max(1, Math.floor(call.deadlineAtMs - nowMs))
    metrics.observeSeconds('call_waited_seconds', (nowMs - call.waitingSinceMs) / 1000)
    call.attemptCount++
    call.requirements.triedIds.add(listing.endpointId)
    Routing.Choice.recordSent(row, call.requirements.promptTokens, nowMs)
    options.notices.recordSent(listing, nowMs)
    if (row.limit?.callsPerSecond !== undefined) metrics.count('limited_calls_total', { endpoint: listing.endpointId })
    log('routing', 'Call sent.', LogFields.sentFields(call, candidate, options.routingContext(), leftMs, nowMs))
    const exchange = upstream.send({
      host: listing.host,
      port: listing.port,
      method: call.request.method ?? 'GET',
      path: call.request.url ?? '/',
      rawHeaders: dialect.forwardHeaders(call.request.rawHeaders, { endpointId: listing.endpointId, workspace: call.workspace?.name, leftMs, lastEventId: call.lastEventId, weightsVersion: Routing.Endpoints.findWeights(row, call.requirements.model)?.version, queuePosition: call.rank === undefined ? undefined : Routing.Ranks.queuePositionOf(call.rank, call), bodyBytes: call.body?.length ?? (BODILESS_METHODS.has(call.request.method ?? 'GET') ? undefined : 0) }),
      body: call.body,
      maxIdleMs: call.route.kind === 'nonIdempotent' ? NON_IDEMPOTENT_MAX_IDLE_MS : MAX_IDLE_MS
    }, {
      mayStillSend: () => clock() - nowMs <= SEND_DELAY_LIMIT_MS,
      onHead: (status, headers, rawHeaders) => { containCall(call, () => { onHead(call, attempt, status, headers, rawHeaders) }) },
      onData: bytes => { containCall(call, () => { onData(call, attempt, bytes) }) },
      onEnd: () => { containCall(call, () => { onEnd(call, attempt) }) },
      onFailed: (stage, reason) => { containCall(call, () => { onFailed(call, attempt, stage, reason) }) }
    })
    if (call.rank !== undefined) rankShares.recordSent(call.service, call.rank)
    const attempt: Calls.Attempt = {
      row,
      listing,
      pendingRank: call.rank,
      exchange,
      sentAtMs: nowMs,
      isResumption: call.resuming,
      begunAtMs: undefined,
      pendingPromptTokens: call.requirements.promptTokens,
      lastReceivedAtMs: nowMs,
      isKeptDespiteSilence: false,
      reinstatedAtMs: -Infinity,
      head: undefined,
      body: ByteCollector.createByteCollector(),
      splitter: undefined
    }
    call.attempt = attempt
  }

  const reportFailure = (row: Routing.Endpoints.EndpointRow, reason: string, call: Calls.Call): void => {
    const avoidMs = Routing.Endpoints.recordFailure(row, clock())
    log('endpoints', 'Endpoint left out.', { callId: call.callId, endpointId: row.listing.endpointId, reason, failureCount: row.failureCount, avoidMs })
  }

  const clearPendingPrompt = (attempt: Calls.Attempt): void => {
    attempt.row.unreadTokens = Math.max(0, attempt.row.unreadTokens - attempt.pendingPromptTokens)
    attempt.pendingPromptTokens = 0
    if (attempt.pendingRank !== undefined) rankShares.recordSettled(attempt.listing.service, attempt.pendingRank)
    attempt.pendingRank = undefined
  }

  /** Detaches the current attempt from its call and takes it off its endpoint's counters. */
  const releaseAttempt = (call: Calls.Call): void => {
    const { attempt } = call
    if (attempt === undefined) return
    call.attempt = undefined
    clearPendingPrompt(attempt)
    attempt.row.ownCallCount = Math.max(0, attempt.row.ownCallCount - 1)
    retryWaiting()
  }

  const onHead = (call: Calls.Call, attempt: Calls.Attempt, status: number, headers: Http.IncomingHttpHeaders, rawHeaders: string[]): void => {
    const nowMs = clock()
    const metadata = dialect.readAnswer(status, headers)
    const { row } = attempt
    attempt.lastReceivedAtMs = nowMs
    if (row.failureCount > 0) log('endpoints', 'Endpoint works again.', { endpointId: row.listing.endpointId, failureCount: row.failureCount })
    Routing.Endpoints.recordSuccess(row, nowMs)
    signals.applyState(row, metadata, nowMs)
    const isOk = status >= 200 && status < 300
    const refusedCallIds = attempt.exchange.connectionNotes()?.refusedCallIds
    // A second refusal of the same id on a connection may be a copy of the first, and proves nothing about this call.
    const isRepeatedRefusal = metadata.isProvenNotRun && refusedCallIds?.has(call.callId) === true
    const isMismatched = metadata.callId !== call.callId || isRepeatedRefusal || headers['content-encoding'] !== undefined || (isOk && !metadata.isSealed)
    if (!isMismatched) signals.applyAvailability(call, attempt, { status, metadata }, nowMs)
    if (isMismatched) {
      abortAttempt(call, attempt)
      endAttempt(call, attempt, 'unknown', 'answer does not belong to the call')
      return
    }
    if (metadata.isProvenNotRun && refusedCallIds !== undefined) rememberRefusal(refusedCallIds, call.callId)
    const isBodiless = MessageHeads.isBodiless(call.request.method, status)
    const isStream = isOk && call.route.kind === 'stream' && !isBodiless
    const declaredLength = headers['content-length']
    const isFramed = isBodiless || declaredLength !== undefined || headers['transfer-encoding']?.trim().toLowerCase() === 'chunked'
    attempt.head = { status, metadata, rawHeaders, declaredLength, isStream, isFramed }
    if (isStream) attempt.splitter = Events.createSplitter()
  }

  const onData = (call: Calls.Call, attempt: Calls.Attempt, bytes: Buffer): void => {
    const nowMs = clock()
    Routing.Endpoints.recordSignOfLife(attempt.row, nowMs)
    if (attempt.splitter === undefined) {
      attempt.lastReceivedAtMs = nowMs
      attempt.body.push(bytes)
      if (attempt.body.sizeBytes() > ANSWER_LIMIT_BYTES) rejectAttempt(call, attempt, 'answer too large')
      return
    }
    const completeEvents = attempt.splitter.push(bytes)
    if (attempt.splitter.pendingBytes() > EVENT_LIMIT_BYTES) { rejectAttempt(call, attempt, 'event too large'); return }
    if (completeEvents === undefined) return
    if (call.stalledAttempt === attempt) reinstateStalled(call, attempt)
    attempt.lastReceivedAtMs = nowMs
    abortStalled(call)
    if (attempt.begunAtMs === undefined && call.rank !== undefined) rankShares.recordBegun(call.service, call.rank, nowMs)
    attempt.begunAtMs ??= nowMs
    clearPendingPrompt(attempt)
    beginStream(call, attempt)
    if (call.eventCount > 0) call.longestPauseMs = Math.max(call.longestPauseMs, attempt.lastReceivedAtMs - call.lastEventAtMs)
    call.lastEventAtMs = attempt.lastReceivedAtMs
    call.eventCount++
    if (completeEvents.lastEventId !== undefined) call.lastEventId = completeEvents.lastEventId
    afterWrite[call.stream?.write(completeEvents.bytes) ?? 'written'](call, attempt)
  }

  /** What follows when events were written to the caller. */
  const afterWrite: Readonly<Record<Bodies.StreamWriteResult, (call: Calls.Call, attempt: Calls.Attempt) => void>> = {
    written: () => {},
    full: (call, attempt) => {
      attempt.exchange.pause()
      call.response.once('drain', () => { attempt.exchange.resume() })
    },
    tooLarge: call => { fail(call, 502, 'endpointFailed', abandonAttempt(call)) }
  }

  const onFailed = (call: Calls.Call, attempt: Calls.Attempt, stage: Upstream.ExchangeStage, reason: string): void => {
    const { row, listing } = attempt
    if (stage === 'outdated') {
      call.requirements.triedIds.delete(listing.endpointId)
      endAttempt(call, attempt, 'notSent', `${stage}: ${reason}`)
      return
    }
    const wasSent = stage === 'sent' || stage === 'answering'
    const end: Routing.Retries.AttemptEnd = !wasSent ? 'notRun' : call.eventCount > 0 ? 'broken' : 'unknown'
    reportFailure(row, `${stage}: ${reason}`, call)
    upstream.closeIdle(listing.host, listing.port)
    if (stage === 'refused') recordEndpointEnd(row)
    if (call.stalledAttempt === attempt) {
      call.stalledAttempt = undefined
      quarantine.recordInterruption(keysOf(call), listing)
    }
    endAttempt(call, attempt, end, `${stage}: ${reason}`, wasSent)
  }

  /** Aborts an attempt whose answer exceeds a size limit. */
  const rejectAttempt = (call: Calls.Call, attempt: Calls.Attempt, reason: string): void => {
    abortAttempt(call, attempt)
    reportFailure(attempt.row, reason, call)
    if (call.stalledAttempt === attempt) call.stalledAttempt = undefined
    endAttempt(call, attempt, call.stream !== undefined ? 'broken' : 'unknown', reason)
  }

  const beginStream = (call: Calls.Call, attempt: Calls.Attempt): void => {
    if (call.stream !== undefined || attempt.head === undefined) return
    call.firstEventAtMs = attempt.lastReceivedAtMs
    metrics.observeSeconds('first_event_seconds', (call.firstEventAtMs - call.arrivedAtMs) / 1000)
    call.stream = Bodies.beginStream(call.response, attempt.head.status, withConnectionHeader(dialect.answerHeaders(attempt.head.rawHeaders)), ANSWER_LIMIT_BYTES)
  }

  const onEnd = (call: Calls.Call, attempt: Calls.Attempt): void => {
    const { head } = attempt
    if (call.stalledAttempt === attempt) reinstateStalled(call, attempt)
    if (head === undefined || call.attempt !== attempt) return
    if (head.isStream) { endStream(call, attempt); return }
    const body = attempt.body.take()
    if (head.metadata.isProvenNotRun) {
      if (head.metadata.quietForMs === 0) reportFailure(attempt.row, `refused with ${head.status}`, call)
      endAttempt(call, attempt, 'notRun', `endpoint refused with ${head.status}`)
    } else if (head.status >= 500 || NOT_RUN_STATUSES.has(head.status)) {
      call.failure = { head: answerHeadOf(head), body }
      endAttempt(call, attempt, 'failed', `endpoint failed with ${head.status}`)
    } else if (call.stream !== undefined) {
      endAttempt(call, attempt, 'broken', `endpoint answered ${head.status} in place of the rest of a stream`)
    } else {
      releaseAttempt(call)
      recordAnswered(call, attempt, head)
      finish(call, 'answered', { status: head.status, endpointId: attempt.row.listing.endpointId })
      writeEndpointAnswer(call.response, answerHeadOf(head), body)
    }
  }

  const endStream = (call: Calls.Call, attempt: Calls.Attempt): void => {
    // An answer that ends with its connection may have been cut by a crash, also before its first event.
    const mayHaveCrashed = attempt.head?.isFramed === false
    if ((attempt.splitter?.pendingBytes() ?? 0) > 0) { endAttempt(call, attempt, 'broken', 'last event not whole', mayHaveCrashed); return }
    if (mayHaveCrashed && attempt.begunAtMs === undefined) { endAttempt(call, attempt, call.stream !== undefined ? 'broken' : 'unknown', 'stream ended without an event', mayHaveCrashed); return }
    releaseAttempt(call)
    beginStream(call, attempt)
    if (attempt.head !== undefined) recordAnswered(call, attempt, attempt.head)
    finish(call, 'answered', { status: 200, endpointId: attempt.row.listing.endpointId, firstMs: Math.round(call.firstEventAtMs - call.arrivedAtMs), version: attempt.head?.metadata.weightsVersion })
    call.stream?.end()
  }

  const answerHeadOf = ({ status, rawHeaders, declaredLength }: NonNullable<Calls.Attempt['head']>): Bodies.AnswerHead => ({ status, rawHeaders: dialect.answerHeaders(rawHeaders), declaredLength })

  const keysOf = (call: Calls.Call): Quarantine.RequestKeys => {
    call.keys ??= [Digests.digestOf(call.request.url ?? '/', call.workspace?.name ?? '', call.body), ...dialect.sharedPartsOf(call.request.headers).map(Routing.Evidence.partKeyOf)]
    return call.keys
  }

  /** Log fields that name the request of a call. */
  const requestFields = (call: Calls.Call): { readonly digest: string, readonly parts?: readonly string[] } => {
    const [digest, ...partKeys] = keysOf(call)
    return { digest, ...(partKeys.length === 0 ? {} : { parts: partKeys.flatMap(key => Routing.Evidence.partIdOf(key) ?? []) }) }
  }

  const quarantineActionOf = (call: Calls.Call): Routing.Suspects.RequestAction => quarantine.isEmpty() ? 'send' : quarantine.actionOf(keysOf(call))

  const repeatActionOf = (call: Calls.Call, probe: Routing.Evidence.Trial): Routing.Suspects.RequestAction => quarantine.mayRepeatProbe(keysOf(call), probe) ? 'try' : 'keepBack'

  /** Records a complete successful answer. One with a length or chunked encoding shows that the request does not crash endpoints; another one may have been ended by a crash. */
  const recordAnswered = (call: Calls.Call, attempt: Calls.Attempt, head: NonNullable<Calls.Attempt['head']>): void => {
    const isSuccess = head.status >= 200 && head.status < 300
    if (!isSuccess) return
    const begunAtMs = attempt.begunAtMs ?? attempt.sentAtMs
    if (head.isFramed) { quarantine.recordAnswered(keysOf(call), begunAtMs); return }
    quarantine.recordAbandoned(keysOf(call), attempt.listing)
    unframedAnswers.add({ keys: keysOf(call), row: attempt.row, begunAtMs, endedAtMs: clock() })
  }

  const historyOf = (call: Calls.Call, nowMs: number): Routing.Retries.CallHistory => ({
    kind: call.route.kind,
    resumable: call.route.resumable,
    ranCount: call.possibleRunCount,
    sentCount: call.attemptCount,
    runLimitCount: call.route.runLimitCount,
    leftMs: call.deadlineAtMs - nowMs
  })

  /** Returns whether a stream that broke off now could continue at another endpoint at once. */
  const canResumeElsewhere = (call: Calls.Call, nowMs: number): boolean => {
    const history = historyOf(call, nowMs)
    const context = options.routingContext()
    return Routing.Retries.nextStep('broken', { ...history, ranCount: history.ranCount + 1 }) === 'retry' &&
      options.budget.allows(call.service, Routing.Choice.sharingGatewayCount(context), nowMs) &&
      waiting.aheadCount({ ...call, resuming: true }) === 0 &&
      Routing.Choice.findCandidates(call.requirements, context, nowMs).some(candidate => candidate.predictedMs < history.leftMs)
  }

  /** Ends an attempt without a complete answer and decides what follows. `mayHaveCrashed` means that the endpoint may have crashed during the attempt. */
  const endAttempt = (call: Calls.Call, attempt: Calls.Attempt, end: Routing.Retries.AttemptEnd, reason: string, mayHaveCrashed = false): void => {
    if (call.done || call.attempt !== attempt) return
    const nowMs = clock()
    releaseAttempt(call)
    const isNotRun = end === 'notRun' || end === 'notSent'
    if (!isNotRun) call.possibleRunCount++
    if (mayHaveCrashed) quarantine.recordInterruption(keysOf(call), attempt.listing)
    const history = historyOf(call, nowMs)
    if (call.probe !== undefined && end === 'notRun' && attempt.exchange.isSent()) call.probe = { ...call.probe, refusedCount: call.probe.refusedCount + 1 }
    const isProbeRepeatable = call.probe !== undefined && isNotRun && repeatActionOf(call, call.probe) === 'try'
    const isQuarantined = call.probe !== undefined || quarantineActionOf(call) !== 'send' || (mayHaveCrashed && quarantine.isSuspected(keysOf(call)))
    const step = isQuarantined && !isProbeRepeatable ? Routing.Retries.finalStep(end, history) : Routing.Retries.nextStep(end, history)
    const isRetry = step === 'retry' && (end === 'notSent' || options.budget.take(call.service, Routing.Choice.sharingGatewayCount(options.routingContext()), nowMs))
    const next = isRetry ? 'retry' : step === 'retry' ? 'budgetUsedUp' : isQuarantined ? 'quarantined' : step
    log('routing', 'Attempt ended.', { callId: call.callId, endpointId: attempt.row.listing.endpointId, end, reason, tookMs: Math.round(nowMs - attempt.sentAtMs), next, attemptCount: call.attemptCount, ...(mayHaveCrashed ? requestFields(call) : {}) })
    metrics.count('attempts_ended_total', { end, next })
    if (mayHaveCrashed) metrics.count('attempts_cut_total')
    if (isRetry) {
      call.resuming = call.stream !== undefined
      call.waitingSinceMs = nowMs
      placeOnceCaughtUp(call)
      return
    }
    endCall(call, step === 'retry' ? Routing.Retries.finalStep(end, history) : step, step === 'retry' ? 'retriesUsedUp' : isQuarantined ? 'quarantined' : 'overCapacity')
  }

  const endUnanswered = (call: Calls.Call, reason: Routing.Admission.RefusalReason): void => {
    endCall(call, call.failure !== undefined ? 'answerFailure' : 'fail', reason)
  }

  /** Makes a stalled attempt the current one again, since its stream goes on or no other endpoint continues it. */
  const reinstateStalled = (call: Calls.Call, stalled: Calls.Attempt): void => {
    log('routing', 'Attempt kept.', { callId: call.callId, endpointId: stalled.row.listing.endpointId, quietMs: Math.round(clock() - stalled.lastReceivedAtMs) })
    // The stalled attempt was counted when it was set aside, and counts again when it ends. If another one is aborted here, the call may have run there too: then the count stays for that one.
    if (call.attempt === undefined) call.possibleRunCount--
    if (call.attempt !== undefined) abortAttempt(call, call.attempt)
    releaseAttempt(call)
    waiting.remove(call)
    call.stalledAttempt = undefined
    call.attempt = stalled
    stalled.reinstatedAtMs = clock()
    call.resuming = false
    stalled.row.ownCallCount++
  }

  const endCall = (call: Calls.Call, step: Exclude<Routing.Retries.NextStep, 'retry'>, reason: Routing.Admission.RefusalReason): void => {
    if (call.stalledAttempt !== undefined) {
      reinstateStalled(call, call.stalledAttempt)
      return
    }
    const handlers: Record<typeof step, () => void> = {
      refuse: () => { refuse(call, reason, {}) },
      answerFailure: () => { answerFailure(call) },
      fail: () => { fail(call, 502, 'outcomeUnknown') }
    }
    handlers[step]()
  }

  /** Passes on an endpoint's own failure, unless its status would promise without proof that the call was not run. */
  const answerFailure = (call: Calls.Call): void => {
    const { failure } = call
    if (failure === undefined || call.stream !== undefined || NOT_RUN_STATUSES.has(failure.head.status)) { fail(call, 502, 'endpointFailed'); return }
    finish(call, 'failedByEndpoint', { status: failure.head.status })
    writeEndpointAnswer(call.response, failure.head, failure.body)
  }

  const fail = (call: Calls.Call, status: number, code: Core.Codes.CodeName, abandonedFields: object = {}): void => {
    finish(call, 'failed', { status, code, answering: call.stream !== undefined, ...abandonedFields })
    if (call.response.headersSent) { call.response.destroy(); return }
    write(call.response, status, dialect.refusalHeaders(call.callId, undefined), code)
  }

  const refuse = (call: Calls.Call, reason: Routing.Admission.RefusalReason, inputs: object): void => {
    const nowMs = clock()
    const returnMs = Routing.Refusals.returnAfterMs(reason, call.deadlineAtMs - nowMs, random, Routing.Choice.quietEndsInMs(call.requirements, options.routingContext(), nowMs), call.rank)
    metrics.count('calls_refused_total', { reason })
    finish(call, 'refused', { reason, returnAfterMs: Math.round(returnMs), waitingCount: waiting.count(), ...inputs })
    write(call.response, 503, dialect.refusalHeaders(call.callId, returnMs), reason)
  }

  /** Ends a call whose deadline has passed. After a standstill of this process, its answer may have arrived and is read first. */
  const onDeadlineTimer = (call: Calls.Call): void => {
    if (isCaughtUp(clock())) onDeadline(call)
    else call.deadlineTimer = setTimeout(() => { containCall(call, () => { onDeadline(call) }) }, CATCH_UP_MS)
  }

  const onDeadline = (call: Calls.Call): void => {
    if (call.done) return
    const { attempt } = call
    const abandonedFields = abandonAttempt(call)
    if (attempt === undefined && call.possibleRunCount === 0) refuse(call, 'outOfTime', {})
    else fail(call, 504, 'deadlineRunning', abandonedFields)
  }

  const endCalls = (): void => {
    for (const call of [...calls]) {
      const hasRun = call.attempt !== undefined || call.stalledAttempt !== undefined || call.possibleRunCount > 0
      if (!hasRun && call.failure === undefined && call.stream === undefined) refuse(call, 'stopping', {})
      else fail(call, 502, 'outcomeUnknown', abandonAttempt(call))
    }
  }

  const cancel = (call: Calls.Call): void => {
    finish(call, 'cancelled', { answering: call.stream !== undefined, ...abandonAttempt(call) })
  }

  /** Aborts an attempt. Its endpoint may go on to run it, and may crash on it later. */
  const abortAttempt = (call: Calls.Call, attempt: Calls.Attempt): void => {
    if (attempt.exchange.isSent()) quarantine.recordAbandoned(keysOf(call), attempt.listing)
    attempt.exchange.abort()
  }

  const abortStalled = (call: Calls.Call): void => {
    if (call.stalledAttempt !== undefined) abortAttempt(call, call.stalledAttempt)
    call.stalledAttempt = undefined
  }

  /** Attributes the end of an endpoint to the requests that were there: those aborted lately, and those whose connections have not closed yet. */
  const recordEndpointEnd = (row: Routing.Endpoints.EndpointRow): void => {
    quarantine.recordEndpointEnd(row.listing, row.aliveAtMs)
    for (const call of calls) {
      for (const attempt of [call.attempt, call.stalledAttempt]) if (attempt?.row === row && attempt.exchange.isSent()) quarantine.recordInterruption(keysOf(call), attempt.listing)
    }
  }

  /** Aborts the current attempt of a call that ends before its answer, and returns the log fields of the attempt. */
  const abandonAttempt = (call: Calls.Call): { readonly endpointId?: string, readonly digest?: string, readonly parts?: readonly string[] } => {
    const { attempt } = call
    if (attempt === undefined) return {}
    metrics.count('attempts_abandoned_total')
    abortAttempt(call, attempt)
    releaseAttempt(call)
    return { endpointId: attempt.listing.endpointId, ...requestFields(call) }
  }

  const finish = (call: Calls.Call, outcome: keyof typeof END_SENTENCES, fields: object): void => {
    call.done = true
    abortStalled(call)
    clearTimeout(call.deadlineTimer)
    waiting.remove(call)
    calls.delete(call)
    const tookMs = clock() - call.arrivedAtMs
    metrics.count('calls_ended_total', { outcome })
    if (call.rank !== undefined) metrics.count('ranked_calls_ended_total', { outcome, service: call.service, rank: String(call.rank.index), workspace: call.workspace?.name ?? '' })
    metrics.observeSeconds('call_seconds', tookMs / 1000, { outcome })
    if (call.eventCount > 1) metrics.observeSeconds('longest_pause_seconds', call.longestPauseMs / 1000)
    log('routing', END_SENTENCES[outcome], { callId: call.callId, route: call.route.name, workspace: call.workspace?.name, tookMs: Math.round(tookMs), attemptCount: call.attemptCount, eventCount: call.eventCount, goalMs: call.route.goalMs, deploymentVersion: options.deploymentIndex()?.deployment.version, ...fields })
  }

  /** Takes a standstill of this process out of the times for which endpoints and attempts count as silent. */
  const adjustForStandstill = (nowMs: number): void => {
    const standstillMs = standstill.recordTick(nowMs)
    if (standstillMs === 0) return
    caughtUpAtMs = nowMs + CATCH_UP_MS
    log('gateway', 'Gateway stood still.', { tookMs: Math.round(standstillMs), activeCount: calls.size })
    for (const row of options.routingContext().endpoints.rows()) row.heardAtMs = Routing.Standstill.shiftByPause(row.heardAtMs, standstillMs, nowMs)
    for (const { attempt: currentAttempt, stalledAttempt } of calls) {
      for (const attempt of [currentAttempt, stalledAttempt]) if (attempt !== undefined) attempt.lastReceivedAtMs = Routing.Standstill.shiftByPause(attempt.lastReceivedAtMs, standstillMs, nowMs)
    }
  }

  /** Returns whether what arrived during a standstill of this process has been read. */
  const isCaughtUp = (nowMs: number): boolean => {
    adjustForStandstill(nowMs)
    return nowMs >= caughtUpAtMs
  }

  const checkSilence = (call: Calls.Call, nowMs: number): void => {
    const { attempt, route } = call
    if (attempt === undefined) return
    const endpointQuietMs = nowMs - attempt.row.heardAtMs
    const quietMs = nowMs - attempt.lastReceivedAtMs
    const isEndpointSilent = Routing.Silence.isSilent(endpointQuietMs)
    const limitMs = Routing.Silence.answerTimeoutMs({ hasBegun: call.stream !== undefined && attempt.pendingPromptTokens === 0, endpointQuietMs, goalMs: route.goalMs, pauseGoalMs: route.pauseGoalMs })
    if (quietMs < limitMs || nowMs - attempt.reinstatedAtMs < limitMs) return
    if (route.kind === 'nonIdempotent') {
      // Keep waiting: the answer may still come, and the call must not run twice.
      if (isEndpointSilent && !attempt.isKeptDespiteSilence) quarantine.recordInterruption(keysOf(call), attempt.listing)
      attempt.isKeptDespiteSilence ||= isEndpointSilent
      return
    }
    // Events may just be delayed in the network: an attempt that has begun is kept until another endpoint continues the stream.
    if (call.stream !== undefined && !canResumeElsewhere(call, nowMs)) {
      if (!attempt.isKeptDespiteSilence) log('routing', 'Attempt kept.', { callId: call.callId, endpointId: attempt.row.listing.endpointId, quietMs: Math.round(quietMs) })
      attempt.isKeptDespiteSilence = true
      return
    }
    if (attempt.begunAtMs !== undefined) call.stalledAttempt = attempt
    else abortAttempt(call, attempt)
    if (isEndpointSilent) reportFailure(attempt.row, `nothing heard for ${Math.round(endpointQuietMs)} ms`, call)
    upstream.closeIdle(attempt.row.listing.host, attempt.row.listing.port)
    endAttempt(call, attempt, call.stream !== undefined ? 'broken' : 'unknown', `nothing heard for ${Math.round(quietMs)} ms`, isEndpointSilent)
  }

  /** Withdraws a stream that is still queued at an endpoint when calls may no longer begin on the endpoint's version. */
  const withdrawOutdated = (call: Calls.Call): void => {
    const { attempt, requirements, route } = call
    if (attempt === undefined || attempt.begunAtMs !== undefined || requirements.service.engine === undefined || route.kind !== 'stream' || !route.resumable) return
    const weights = Routing.Endpoints.findWeights(attempt.row, requirements.model)
    const { load } = attempt.row
    const isLoadingNext = load?.loading === true && load.retiring !== true
    if (weights === undefined || isLoadingNext || weights.version >= options.oldestStartableVersionOf(weights.model)) return
    abortAttempt(call, attempt)
    endAttempt(call, attempt, call.stream !== undefined ? 'broken' : 'unknown', `not begun before version ${weights.version} was overdue`)
  }

  const tickTimer = setInterval(() => {
    const nowMs = clock()
    adjustForStandstill(nowMs)
    for (const call of calls) {
      containCall(call, () => {
        withdrawOutdated(call)
        checkSilence(call, nowMs)
      })
    }
    for (const { keys, begunAtMs } of unframedAnswers.takeConfirmed(nowMs)) quarantine.recordAnswered(keys, begunAtMs)
    retryWaiting()
  }, TICK_INTERVAL_MS)

  return {
    handle,
    retryWaiting,
    recordEndpointEnd,
    activeCount: () => calls.size,
    endCalls,
    stop: () => { clearInterval(tickTimer) }
  }
}

/** Adds the id of a refused call, and drops the oldest one if there are too many. */
function rememberRefusal (refusedCallIds: Set<string>, callId: string): void {
  refusedCallIds.add(callId)
  const [oldest] = refusedCallIds
  if (refusedCallIds.size > REFUSED_LIMIT_COUNT && oldest !== undefined) refusedCallIds.delete(oldest)
}
