/**
 * The guards that the mutation run takes out, one at a time, and the checks that must miss each.
 *
 * @packageDocumentation
 */

/** A check: a soak of one world, or a test file. */
export type Check =
  | { readonly kind: 'soak', readonly world: string }
  | { readonly kind: 'test', readonly file: string }

/** A guard and how it is taken out. */
export interface Guard {
  readonly name: string
  readonly file: string
  /** The guard's text; it stands in the file exactly once. */
  readonly text: string
  readonly replacement: string
  /** Tried in order until one fails. */
  readonly checks: readonly Check[]
}

const soak = (world: string): Check => ({ kind: 'soak', world })
const test = (name: string): Check => ({ kind: 'test', file: `test/${name}.test.ts` })

/** Every guard. */
export const GUARDS: readonly Guard[] = [
  {
    name: 'limit',
    file: 'src/agent/systems/admission.ts',
    text: 'attempts.runningCount() < Limiter.allowedCount(limiter, attempts.runningCount())',
    replacement: 'true',
    checks: [soak('agent')]
  },
  {
    name: 'start at one call',
    file: 'src/agent/limiter.ts',
    text: '    limitCount: 1,\n    ceilingCount: 1,\n    phase: \'cold\',',
    replacement: '    limitCount: 4,\n    ceilingCount: 4,\n    phase: \'warm\',',
    checks: [soak('agent')]
  },
  {
    name: 'incarnation of the agent',
    file: 'src/agent/systems/admission.ts',
    text: 'envelope.agentIncarnation !== tables.identity.incarnation',
    replacement: 'false',
    checks: [soak('agent'), soak('claims')]
  },
  {
    name: 'fenced attempt',
    file: 'src/agent/systems/admission.ts',
    text: 'if (tables.finished.has(envelope.attemptId)) {',
    replacement: 'if (false) {',
    checks: [soak('claims'), soak('agent'), test('fencing')]
  },
  {
    name: 'drain at the agent',
    file: 'src/agent/tables.ts',
    text: "if (tables.drainReason !== undefined) return 'draining'",
    replacement: '',
    checks: [soak('agent')]
  },
  {
    name: 'model version of an attempt',
    file: 'src/agent/systems/admission.ts',
    text: 'return envelope.modelVersion !== undefined && envelope.modelVersion !== tables.endpoint.modelVersion',
    replacement: 'return false',
    checks: [soak('agent')]
  },
  {
    name: 'model version in the queue',
    file: 'src/agent/systems/admission.ts',
    text: 'else if (isOtherVersion(tables, envelope))',
    replacement: 'else if (false)',
    checks: [soak('agent')]
  },
  {
    name: 'deadline in the queue',
    file: 'src/agent/systems/admission.ts',
    text: 'else if (tick.nowMs >= deadlineMs)',
    replacement: 'else if (false)',
    checks: [soak('agent')]
  },
  {
    name: 'promise never to run',
    file: 'src/agent/systems/fencing.ts',
    text: "if (tick.nowMs < expiresAtMs) storeFinished(tables, { attemptId, state: 'fenced', outcome: undefined, finishedAtMs: tick.nowMs, expiresAtMs })",
    replacement: '',
    checks: [test('fencing'), soak('claims')]
  },
  {
    name: 'incarnation in a question',
    file: 'src/agent/systems/fencing.ts',
    text: "if (question.agentIncarnation !== tables.identity.incarnation) return { state: 'unknown' }",
    replacement: '',
    checks: [soak('claims'), test('fencing')]
  },
  {
    name: 'whole weights before a load',
    file: 'src/agent/systems/placement.ts',
    text: "return areWhole(tables, [model, ...adapters]) ? { kind: 'load'",
    replacement: "return true ? { kind: 'load'",
    checks: [soak('agent')]
  },
  {
    name: 'fencing number of a plan',
    file: 'src/agent/systems/placement.ts',
    text: 'plan.fencingNumber < tables.fencingNumber',
    replacement: 'false',
    checks: [soak('agent')]
  },
  {
    name: 'answer of another call or version',
    file: 'src/agent/answers.ts',
    text: 'version !== undefined && envelope.modelVersion !== undefined && version !== envelope.modelVersion',
    replacement: 'false',
    checks: [test('proof.guards')]
  },
  {
    name: 'digest of a chunk',
    file: 'src/weights/edge/chunkClient.ts',
    text: "hash.digest('hex') === request.chunkDigest",
    replacement: 'true',
    checks: [test('weights.edge')]
  },
  {
    name: 'digest of the whole',
    file: 'src/weights/systems/delivery.ts',
    text: 'set.wholeMatches !== true || ',
    replacement: '',
    checks: [test('weights.swarm'), soak('agent'), test('weights.edge')]
  },
  {
    name: 'attempt of an end',
    file: 'src/gateway/systems/calls.ts',
    text: 'if (row?.current?.attemptId !== input.attemptId) continue',
    replacement: 'if (row?.current === undefined) continue',
    checks: [soak('gateway')]
  },
  {
    name: 'attempt of progress',
    file: 'src/gateway/systems/calls.ts',
    text: '  row.pinnedVersion = row.current.modelVersion\n',
    replacement: '',
    checks: [soak('gateway')]
  },
  {
    name: 'repeat of what may not run twice',
    file: 'src/gateway/systems/calls.ts',
    text: '    if (row.idempotent) followOn(tables, tick, row)\n    else Asking.askOwn(tick, row)',
    replacement: '    followOn(tables, tick, row)',
    checks: [soak('claims')]
  },
  {
    name: 'drain at the gateway',
    file: 'src/gateway/choice.ts',
    text: ' && !Control.Documents.isDrained(tables.held.drains(), endpoint.endpointId, endpoint.zone)',
    replacement: '',
    checks: [soak('gateway'), test('proof.guards')]
  },
  {
    name: 'leaving endpoint',
    file: 'src/gateway/choice.ts',
    text: "endpoint.listedState !== 'leaving' && ",
    replacement: '',
    checks: [soak('gateway'), test('proof.guards')]
  },
  {
    name: 'pinned version of a stream',
    file: 'src/gateway/choice.ts',
    text: 'return row.pinnedVersion === undefined || report.modelVersion === row.pinnedVersion',
    replacement: 'return true',
    checks: [soak('gateway')]
  },
  {
    name: 'quarantine',
    file: 'src/gateway/suspicion.ts',
    text: 'return entry !== undefined && entry.suspect !== true',
    replacement: 'return false',
    checks: [test('proof.guards')]
  },
  {
    name: 'truth of a refusal',
    file: 'src/gateway/systems/routing.ts',
    text: 'const code = row.openAttempts.size > 0 || row.nextIndex > 0 ? unknownCode : toldCode',
    replacement: 'const code = toldCode',
    checks: [soak('gateway'), soak('claims')]
  },
  {
    name: 'key conflict',
    file: 'src/gateway/systems/claims.ts',
    text: 'if (record.digest !== row.call.digest) {',
    replacement: 'if (false) {',
    checks: [soak('claims')]
  },
  {
    name: 'held claim',
    file: 'src/gateway/claimWriter.ts',
    text: "answer(job, { kind: 'held', revision: row.revision, record: record.value })",
    replacement: "answer(job, { kind: 'granted', revision: row.revision, record: job.record })",
    checks: [soak('claims'), test('claim-writer')]
  },
  {
    name: 'nonce of a claim read back',
    file: 'src/gateway/claimWriter.ts',
    text: 'if (record.value.nonce === job.record.nonce) {',
    replacement: 'if (record.value.digest === job.record.digest) {',
    checks: [test('claim-writer'), soak('claims')]
  },
  {
    name: 'revision of a claim',
    file: 'src/gateway/claimWriter.ts',
    text: 'conditions: batch.map(job => ({ table: CLAIM_TABLE, key: job.write.claimKey, revision: job.revision })),',
    replacement: 'conditions: [],',
    checks: [soak('claims'), test('claim-writer')]
  },
  {
    name: 'versions rise where held',
    file: 'src/control/documents.ts',
    text: 'if (document.version <= versionOf(document.kind)) return false',
    replacement: '',
    checks: [soak('control')]
  },
  {
    name: 'revision of a commit',
    file: 'src/control/commits.ts',
    text: '{ table: CONTROL_TABLE, key: change.kind, revision }, ',
    replacement: '',
    checks: [soak('control')]
  },
  {
    name: 'expected version of a commit',
    file: 'src/control/commits.ts',
    text: 'if (change.expectedVersion !== undefined && change.expectedVersion !== version) return Neverthrow.err(conflict(change, row))',
    replacement: '',
    checks: [test('commits'), soak('control')]
  },
  {
    name: 'lease lapsed under its holder',
    file: 'src/control/lease.ts',
    text: 'grant !== undefined && options.clock() < grant.validUntilMs ? grant : undefined',
    replacement: 'grant',
    checks: [soak('control')]
  },
  {
    name: 'lease taken over too early',
    file: 'src/control/lease.ts',
    text: 'if (options.clock() - observed.sinceMs >= record.value.durationMs) ',
    replacement: '',
    checks: [soak('control'), test('lease')]
  },
  {
    name: 'validity counted from before the write',
    file: 'src/control/lease.ts',
    text: 'validUntilMs: startedMs + options.durationMs }',
    replacement: 'validUntilMs: options.clock() + options.durationMs }',
    checks: [soak('control'), test('lease')]
  },
  {
    name: 'fencing number of a lease rises',
    file: 'src/control/lease.ts',
    text: 'record.value.fencingNumber + 1)',
    replacement: 'record.value.fencingNumber)',
    checks: [test('lease'), soak('control')]
  },
  {
    name: 'plan from documents as new as the store holds',
    file: 'src/control/placementHolder.ts',
    text: 'stored.value[kind] > heldVersions[kind]',
    replacement: 'stored.value[kind] < 0',
    checks: [test('lease')]
  },
  {
    name: 'load reports: none that was overtaken',
    file: 'src/agent/loadReports.ts',
    text: 'load !== undefined && askedAtMs < newestAskedAtMs',
    replacement: 'load === undefined && askedAtMs < 0',
    checks: [test('load-reports')]
  },
  {
    name: 'quarantine: asked again in the queue of an agent',
    file: 'src/agent/systems/admission.ts',
    text: "else if (isQuarantined(quarantineEntryOf(tables, envelope))) refuseAttempt(tables, tick, envelope, 'quarantined', QUARANTINED_REASON)",
    replacement: '',
    checks: [test('quarantine')]
  },
  {
    name: 'quarantine: suspects of the queue of an agent are marked',
    file: 'src/agent/systems/admission.ts',
    text: '    markSuspects(tables)\n',
    replacement: '',
    checks: [test('quarantine')]
  },
  {
    name: 'quarantine: asked again after a claim',
    file: 'src/gateway/systems/routing.ts',
    text: ' || Suspicion.isQuarantined(tables, row.call.digest)) {',
    replacement: ') {',
    checks: [test('quarantine')]
  },
  {
    name: 'quarantine: a whole answer clears the crashes before it alone',
    file: 'src/control/quarantines.ts',
    text: 'filter(crashId => !evidence.crashIds.includes(crashId))',
    replacement: 'filter(() => false)',
    checks: [test('quarantine')]
  },
  {
    name: 'drain: conditional on the drains that were checked',
    file: 'src/gateway/changes.ts',
    text: '...(isConditional ? { expectedVersion: base.version } : {})',
    replacement: '',
    checks: [test('drain-check')]
  },
  {
    name: 'orders: a report after a lost answer, for admission',
    file: 'src/agent/systems/admission.ts',
    text: ' || endpoint.isModelUnconfirmed) return',
    replacement: ') return',
    checks: [test('placement.agent')]
  },
  {
    name: 'orders: a report after a lost answer, for the next order',
    file: 'src/agent/systems/placement.ts',
    text: ' || endpoint.isModelUnconfirmed ||',
    replacement: ' ||',
    checks: [test('placement.agent')]
  },
  {
    name: 'wait for the plan of a manifest',
    file: 'src/ctl/progress.ts',
    text: 'status.plannedManifestVersion >= version ? 1 : 0',
    replacement: '1',
    checks: [test('progress')]
  },
  {
    name: 'plan under its lease',
    file: 'src/control/placementHolder.ts',
    text: 'conditions: [{ table: Lease.LEASE_TABLE, key: PLACEMENT_LEASE, revision: grant.revision }]',
    replacement: 'conditions: []',
    checks: [soak('control')]
  },
  {
    name: 'end mark of a stream',
    file: 'src/gateway/streams.ts',
    text: "incoming.on('end', () => { finish('The stream ended without its end mark.') })",
    replacement: "incoming.on('end', () => { finish(undefined) })",
    checks: [test('proof.guards')]
  },
  {
    name: 'token in its place',
    file: 'src/gateway/streams.ts',
    text: "if (index !== exchange.nextIndex) { finish('A token is missing.'); return }",
    replacement: '',
    checks: [test('proof.guards')]
  },
  {
    name: 'version of the end mark',
    file: 'src/gateway/streams.ts',
    text: 'mark.modelVersion !== undefined && exchange.version !== undefined && mark.modelVersion !== exchange.version',
    replacement: 'false',
    checks: [test('proof.guards')]
  },
  {
    name: 'direct: runs of a call that must not run twice',
    file: 'src/routing/retries.ts',
    text: "if (!isNotRun && isWithinLimits && isRepeatable) return 'retry'",
    replacement: "if (!isNotRun && isWithinLimits) return 'retry'",
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: promise only what is proved',
    file: 'src/routing/retries.ts',
    text: "return NOT_RUN_ENDS.has(end) && call.ranCount === 0 ? 'refuse' : 'fail'",
    replacement: "return 'refuse'",
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: a decision that is old when its connection opens',
    file: 'src/ingress/ingress.ts',
    text: 'mayStillSend: () => clock() - nowMs <= SEND_DELAY_LIMIT_MS',
    replacement: 'mayStillSend: () => true',
    checks: [test('stale-decisions')]
  },
  {
    name: 'direct: what arrived during a standstill is read before a call is sent',
    file: 'src/ingress/ingress.ts',
    text: 'caughtUpAtMs = nowMs + CATCH_UP_MS',
    replacement: '',
    checks: [test('stale-decisions')]
  },
  {
    name: 'direct: an answer that arrived during a standstill is read before the deadline ends its call',
    file: 'src/ingress/ingress.ts',
    text: 'if (isCaughtUp(clock())) onDeadline(call)',
    replacement: 'if (!call.done) onDeadline(call)',
    checks: [test('stale-decisions')]
  },
  {
    name: 'direct: a call that is not sent is kept off its connection',
    file: 'src/ingress/upstream.ts',
    text: "      stage = 'outdated'\n      fail('connection opened too late')",
    replacement: "      listener.onFailed('outdated', 'connection opened too late')\n      isSettled = true",
    checks: [test('direct-connect')]
  },
  {
    name: 'direct: answer of another call',
    file: 'src/ingress/ingress.ts',
    text: 'const isMismatched = metadata.callId !== call.callId || ',
    replacement: 'const isMismatched = ',
    checks: [test('direct-path')]
  },
  {
    name: 'direct: whole events only',
    file: 'src/ingress/events.ts',
    text: 'const end = lastEventEnd(bytes)',
    replacement: 'const end = bytes.length',
    checks: [test('direct-platform')]
  },
  {
    name: 'direct: zone out of service',
    file: 'src/routing/choice.ts',
    text: 'zoneDrained: (row, _requirements, context) => context.drainedZones.has(row.listing.zone)',
    replacement: 'zoneDrained: () => false',
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: regions',
    file: 'src/routing/choice.ts',
    text: 'region: (row, requirements) => requirements.regions.some(regions => regions.length > 0 && !regions.includes(row.listing.region))',
    replacement: 'region: () => false',
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: cold endpoints',
    file: 'src/routing/choice.ts',
    text: 'cold: (row, requirements, context, nowMs) => !hasColdCapacity(row, requirements.service, context, nowMs)',
    replacement: 'cold: () => false',
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: version that is due',
    file: 'src/routing/choice.ts',
    text: ' && held.version >= context.oldestVersionOf(held.model)',
    replacement: '',
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: budget of repeats',
    file: 'src/routing/budgets.ts',
    text: 'return window.retryTimesMs.length + 1 <= limitCount',
    replacement: 'return true',
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: deployments never go back',
    file: 'src/follow/operators.ts',
    text: 'if (versionInForce !== undefined && deployment.version <= versionInForce) return',
    replacement: '',
    checks: [test('direct-path')]
  },
  {
    name: 'shared rows: a first read waits for a neighbour that reads the table itself',
    file: 'src/follow/relay.ts',
    text: 'if (relayed === undefined || !(isFirstRead || isHeld))',
    replacement: 'if (relayed === undefined || !isHeld)',
    checks: [test('start-of-a-region')]
  },
  {
    name: 'shared rows: a first read waits for the list of processes',
    file: 'src/follow/shared.ts',
    text: '    await untilMembersKnown()\n',
    replacement: '',
    checks: [test('start-of-a-region')]
  },
  {
    name: 'restored store: no rows of an earlier era',
    file: 'src/follow/rows.ts',
    text: 'Positions.eraOf(row.revision) >= Positions.eraOf(latestSnapshotRevision ?? 0)',
    replacement: 'true',
    checks: [test('restored-store')]
  },
  {
    name: 'restored store: readings date rows of their own era only',
    file: 'src/follow/readings.ts',
    text: 'other < revision && Positions.eraOf(other) === Positions.eraOf(revision)',
    replacement: 'other < revision',
    checks: [test('restored-store')]
  },
  {
    name: 'restored store: answers of an earlier era are not used',
    file: 'platform/store.ts',
    text: 'if (newest !== undefined && era < newest) return',
    replacement: 'if (newest !== undefined && era < 0) return',
    checks: [test('restored-store')]
  },
  {
    name: 'restored store: a jump of the era is confirmed',
    file: 'platform/store.ts',
    text: 'if (jump.answerCount < ERA_JUMP_ANSWER_COUNT) return',
    replacement: 'if (jump.answerCount < 0) return',
    checks: [test('restored-store')]
  },
  {
    name: 'restored store: what was put off stays in force through a second return',
    file: 'src/follow/restores.ts',
    text: 'const inForce = heldRows.get(key) ?? before.get(key)',
    replacement: 'const inForce = before.get(key)',
    checks: [test('restored-store')]
  },
  {
    name: 'restored store: a row written again voids what was put off',
    file: 'src/follow/restores.ts',
    text: 'deferred.filter(row => heldRows.has(row.key) && current.get(row.key)?.revision === row.revision)',
    replacement: 'deferred.filter(row => heldRows.has(row.key) || row.deleted)',
    checks: [test('restored-store')]
  },
  {
    name: 'restored store: removals are put off',
    file: 'src/follow/restores.ts',
    text: '(_inForce, found) => found.deleted',
    replacement: '(_inForce, found) => found.deleted && false',
    checks: [test('restored-store')]
  },
  {
    name: 'restored store: an entry of before a removal or a drain is doubted',
    file: 'src/routing/endpoints.ts',
    text: '(known.draining && !found.draining) || newestWeightsVersion(found) < newestWeightsVersion(known)',
    replacement: 'false',
    checks: [test('restored-store')]
  },
  {
    name: 'endpoints: none is called whose later start was seen',
    file: 'src/routing/choice.ts',
    text: '  ended: (row, _requirements, _context, nowMs) => row.endedUntilMs > nowMs,\n',
    replacement: '',
    checks: [test('ended-starts')]
  },
  {
    name: 'manifests: agents that draw no chunks wait for a holder',
    file: 'src/filling/choosing.ts',
    text: "return input.hasHolder ? 'agents' : 'wait'",
    replacement: "return 'origin'",
    checks: [test('direct-filling')]
  },
  {
    name: 'direct: rows never go back',
    file: 'src/follow/rows.ts',
    text: 'page.rows.filter(row => isOfSnapshotEra(row) && row.revision > (rows.get(row.key)?.revision ?? 0))',
    replacement: 'page.rows.filter(() => true)',
    checks: [test('direct-platform')]
  },
  {
    name: 'direct: digest of a chunk',
    file: 'src/filling/chunkCache.ts',
    text: 'if (Core.Hash.sha256(bytes) !== chunkSet.manifest.digests[index]) return false',
    replacement: '',
    checks: [test('direct-filling')]
  },
  {
    name: 'direct: late calls leave the last place',
    file: 'src/routing/admission.ts',
    text: 'late && call.isCrowded && !call.resuming && !leavesFreeSlot',
    replacement: 'false',
    checks: [test('direct-routing')]
  },
  {
    name: 'direct: a busy holder is waited for',
    file: 'src/filling/choosing.ts',
    text: "if (hasHolder) return { kind: 'wait' }",
    replacement: '',
    checks: [test('direct-filling')]
  },
  {
    name: 'direct: the origin is left to one agent after the other',
    file: 'src/filling/choosing.ts',
    text: 'elapsedMs >= ORIGIN_FALLBACK_MS * rank',
    replacement: 'elapsedMs >= ORIGIN_FALLBACK_MS',
    checks: [test('direct-filling')]
  },
  {
    name: 'direct: an agent answers the roll with what it has',
    file: 'src/filling/agent.ts',
    text: 'fetcher.answerRollCall(news.sender)',
    replacement: '',
    checks: [test('direct-spread')]
  },
  {
    name: 'direct: a chunk that the origin did not give goes behind',
    file: 'src/filling/fetcher.ts',
    text: ' || hasFailed(ORIGIN_NAME, key, nowMs)',
    replacement: '',
    checks: [test('direct-filler')]
  },
  {
    name: 'direct: shares of free places',
    file: 'src/routing/choice.ts',
    text: 'Math.floor(freeCount * share + row.loadDraw)',
    replacement: 'freeCount',
    checks: [test('direct-routing')]
  },
  {
    name: 'version claims: only from the version that a claim is of',
    file: 'src/routing/versions.ts',
    text: 'Math.max(FIRST_VERSION, firstInGrace.version - 1)',
    replacement: 'FIRST_VERSION',
    checks: [test('version-claims')]
  },
  {
    name: 'version claims: what a process may have missed counts from its own last page',
    file: 'src/routing/versions.ts',
    text: 'notBeforeMs: completeAtMs, outage',
    replacement: 'notBeforeMs: naming.notBeforeMs, outage',
    checks: [test('version-claims')]
  },
  {
    name: 'version claims: those of a later write of the row are dropped',
    file: 'src/routing/versions.ts',
    text: 'isSameRow ? Math.max',
    replacement: 'true ? Math.max',
    checks: [test('version-claims')]
  },
  {
    name: 'version claims: an outage ends when the store answers another process',
    file: 'src/routing/versions.ts',
    text: 'Math.min(outage.toMs, revisionTimes.answeredAfterMs(outage.fromMs))',
    replacement: 'outage.toMs',
    checks: [test('version-claims')]
  },
  {
    name: 'readings: only of revisions below that of the row',
    file: 'src/follow/readings.ts',
    text: 'other < revision',
    replacement: 'other <= revision + 1',
    checks: [test('direct-platform'), test('version-claims')]
  },
  {
    name: 'store clock: goes by what others tell where its own answers were slow',
    file: 'src/follow/storeClock.ts',
    text: 'Math.min(answerOffsets.minMs(), peerOffsets.minMs())',
    replacement: 'answerOffsets.minMs() === Infinity ? peerOffsets.minMs() : answerOffsets.minMs()',
    checks: [test('direct-platform')]
  },
  {
    name: 'shared rows: few gateways of a region read the store',
    file: 'src/follow/shared.ts',
    text: 'export const READER_COUNT = 2',
    replacement: 'export const READER_COUNT = 9',
    checks: [test('direct-shared')]
  },
  {
    name: 'shared rows: no difference where removals may be missing',
    file: 'src/follow/relay.ts',
    text: "if (query.after !== undefined && query.after < mirror.snapshotRevision()) return { answer: 'historyGone' }",
    replacement: '',
    checks: [test('direct-shared')]
  },
  {
    name: 'shared rows: parts are no answer to who acts on the whole',
    file: 'src/follow/relay.ts',
    text: 'isPart ? relayed.partOf !== undefined : relayed.isPart !== true',
    replacement: 'true',
    checks: [test('direct-shared')]
  },
  {
    name: 'shared rows: none beyond the time of the page',
    file: 'src/follow/relay.ts',
    text: 'mirror.since(after).rows.filter(row => row.revision <= mirror.revision())',
    replacement: 'mirror.since(after).rows',
    checks: [test('direct-shared')]
  },
  {
    name: 'shared rows: only from a process that reads the store itself and is in touch',
    file: 'src/follow/relay.ts',
    text: 'return relayed.longPolling.refusal()',
    replacement: 'return undefined',
    checks: [test('direct-shared')]
  },
  {
    name: 'shared rows: a read begun anew goes to the store',
    file: 'src/follow/shared.ts',
    text: 'return await Promise.race([readStore(pending), earlierResult.then(async earlierAnswer => earlierAnswer ?? await waitForever())])',
    replacement: 'return await readNeighboursOrStore(pending)',
    checks: [test('direct-shared')]
  },
  {
    name: 'shared rows: a neighbour that is behind is passed over',
    file: 'src/follow/shared.ts',
    text: "if (previous.neighbour !== undefined) backOffFrom(previous.neighbour, 'behind other processes')",
    replacement: '',
    checks: [test('direct-shared')]
  },
  {
    name: 'shared rows: a process that is behind in a region that is all behind asks elsewhere',
    file: 'src/follow/shared.ts',
    text: 'await sleep(FAR_READ_DELAY_MS)\n    if (mirror !== undefined && mirror.revision() > revision) return undefined\n    return await askAny(table, revision, holders)',
    replacement: 'return undefined',
    checks: [test('direct-shared')]
  },
  {
    name: 'reads of other processes: rows that arrive slowly are waited for',
    file: 'src/follow/relay.ts',
    text: 'const PEER_IDLE_TIMEOUT_MS = 1_500',
    replacement: 'const PEER_IDLE_TIMEOUT_MS = 0',
    checks: [test('direct-shared'), test('large-deployments')]
  },
  {
    name: 'reads of other processes: another one is asked beside a silent one',
    file: 'src/follow/relay.ts',
    text: 'const PEER_HEDGE_DELAY_MS = 400',
    replacement: 'const PEER_HEDGE_DELAY_MS = 60_000',
    checks: [test('direct-shared')]
  },
  {
    name: 'reads of other processes: another one is asked beside one that only trickles',
    file: 'src/follow/relay.ts',
    text: ' || nowMs - read.startedAtMs > PEER_TRANSFER_HEDGE_DELAY_MS',
    replacement: '',
    checks: [test('direct-shared')]
  },
  {
    name: 'reads of other processes: holders of newer rows come first',
    file: 'src/follow/relay.ts',
    text: 'return [...shuffled.filter(isHolder), ...shuffled.filter(peer => !isHolder(peer))]',
    replacement: 'return shuffled',
    checks: [test('direct-shared')]
  },
  {
    name: 'reads of other processes: large values are compressed',
    file: 'src/follow/relay.ts',
    text: 'const packed = isPacked ? packedValueOf(row) : undefined',
    replacement: 'const packed = undefined',
    checks: [test('large-deployments')]
  },
  {
    name: 'rows: a removal that left no row makes nobody behind',
    file: 'src/follow/follower.ts',
    text: 'Math.max(mirror.rowRevision(), mirror.revision()) >= revision',
    replacement: 'mirror.rowRevision() >= revision',
    checks: [test('direct-platform')]
  },
  {
    name: 'calls: none is denied by a deployment that is known to be outdated',
    file: 'src/ingress/ingress.ts',
    text: "if (options.isDeploymentOutdated()) refuseEarly(request, response, metadata, 'outdated')\n    else deny",
    replacement: 'deny',
    checks: [test('large-deployments')]
  },
  {
    name: 'calls: none is taken that may outlive the process',
    file: 'src/ingress/ingress.ts',
    text: 'if (deadlineAtMs > options.callsEndByMs())',
    replacement: 'if (deadlineAtMs === Infinity)',
    checks: [test('late-stop')]
  },
  {
    name: 'entries: ports are in range',
    file: 'src/schema/decode.ts',
    text: 'minimum: 1, maximum: 65_535',
    replacement: 'minimum: -1e9, maximum: 1e9',
    checks: [test('malformed-entries')]
  },
  {
    name: 'entries: values are not nested too deeply',
    file: 'src/schema/decode.ts',
    text: 'if (depth > NESTING_LIMIT_COUNT) return true',
    replacement: '',
    checks: [test('malformed-entries')]
  },
  {
    name: 'shared rows: a neighbour that says nothing at once is passed over',
    file: 'src/follow/relay.ts',
    text: 'const LONG_POLL_HEAD_TIMEOUT_MS = 600',
    replacement: 'const LONG_POLL_HEAD_TIMEOUT_MS = 60_000',
    checks: [test('direct-shared')]
  },
  {
    name: "limits: an endpoint gets calls in a gateway's turns only",
    file: 'src/routing/choice.ts',
    text: 'limited: (row, _requirements, context) => !hasTurn(row, context)',
    replacement: 'limited: () => false',
    checks: [test('direct-limits')]
  },
  {
    name: 'limits: a turn is used once',
    file: 'src/routing/choice.ts',
    text: 'if (row.limit?.callsPerSecond !== undefined) Turns.useTurn(row.limitTurns)',
    replacement: '',
    checks: [test('direct-limits')]
  },
  {
    name: 'limits: a turn belongs to one gateway',
    file: 'src/routing/turns.ts',
    text: 'scoreOf(turnHash, hash, weight) < ownScore)',
    replacement: 'true)',
    checks: [test('turns')]
  },
  {
    name: 'limits: a change of the rate adds no calls',
    file: 'src/routing/turns.ts',
    text: 'nextIndex: nowIndex + 2',
    replacement: 'nextIndex: nowIndex',
    checks: [test('turns')]
  },
  {
    name: "limits: nobody's turn while gateways are not known",
    file: 'src/routing/turns.ts',
    text: 'if (sharers === undefined || !Number.isFinite(storeMs)) return false\n',
    replacement: 'if (sharers === undefined || !Number.isFinite(storeMs)) return true\n',
    checks: [test('turns')]
  },
  {
    name: 'limits: not ended by an older answer',
    file: 'src/routing/limits.ts',
    text: 'if (received.askedAtMs >= current.heardAtMs) return received',
    replacement: 'if (received.heardAtMs >= current.heardAtMs) return received',
    checks: [test('turns')]
  },
  {
    name: 'limits: other gateways are told',
    file: 'src/ingress/gateway.ts',
    text: 'for (const limitNews of message.limits ?? []) applyLimitNews(limitNews, message.sender)',
    replacement: '',
    checks: [test('direct-limits')]
  },
  {
    name: 'cold endpoints: no share below one call is rounded up',
    file: 'src/routing/choice.ts',
    text: 'if (shareCount < 1) return Turns',
    replacement: 'if (shareCount < 1) return row.coldSentAtMs.length < 1 || Turns',
    checks: [test('direct-bounds')]
  },
  {
    name: 'bounds: no share while gateways are not known',
    file: 'src/routing/choice.ts',
    text: 'context.sharers === undefined ? Infinity : ',
    replacement: '',
    checks: [test('direct-bounds')]
  },
  {
    name: 'messages: the head of an answer can be passed on',
    file: 'src/ingress/upstream.ts',
    text: 'const problem = MessageHeads.problemOfAnswer(response.statusCode ?? 0, response.rawHeaders)',
    replacement: 'const problem = [].at(0)',
    checks: [test('broken-answers')]
  },
  {
    name: 'messages: the head of a request can be passed on',
    file: 'src/ingress/ingress.ts',
    text: 'MessageHeads.problemOfRequest(request.url ?? \'/\', request.rawHeaders) !== undefined',
    replacement: 'false',
    checks: [test('unexpected-errors')]
  },
  {
    name: 'loads: a check is too old when the chunks were taken long after it',
    file: 'src/filling/filler.ts',
    text: 'load.acceptedByMs - LoadProof.MAX_CHECK_AGE_MS',
    replacement: '-Infinity',
    checks: [test('direct-filler')]
  },
  {
    name: 'loads: nothing is staged while a lost order may be accepted',
    file: 'src/filling/filler.ts',
    text: 'if (!proofs.hasPendingOrder()) await staging.stage(chunkSet)',
    replacement: 'await staging.stage(chunkSet)',
    checks: [test('direct-filler')]
  },
  {
    name: 'loads: an order of another start of the engine is not its own',
    file: 'src/filling/loadProof.ts',
    text: 'sent.state.bornAtMs === state.bornAtMs && ',
    replacement: '',
    checks: [test('load-proof')]
  },
  {
    name: 'loads: calls begin on proven ones only',
    file: 'src/routing/choice.ts',
    text: '!Endpoints.isProven(row, context.isManaged?.(row.listing) === true)',
    replacement: 'false',
    checks: [test('load-proof')]
  },
  {
    name: 'loads: orders are conditional',
    file: 'platform/engine.ts',
    text: 'switch_mode: SWITCH_MODES[mode], precondition: orderCount',
    replacement: 'switch_mode: SWITCH_MODES[mode]',
    checks: [test('load-proof')]
  },
  {
    name: 'loads: calls name the version',
    file: 'platform/dialect.ts',
    text: 'if (sending.weightsVersion !== undefined) forwarded',
    replacement: 'if (sending.weightsVersion === -1) forwarded',
    checks: [test('load-proof')]
  },
  {
    name: 'manifests: compared with what was asked for',
    file: 'src/filling/manifests.ts',
    text: 'manifest.model !== wanted.model || manifest.version !== wanted.version',
    replacement: 'false',
    checks: [test('direct-filler')]
  },
  {
    name: 'manifests: as many chunks as the deployment names',
    file: 'src/filling/manifests.ts',
    text: 'return manifest.digests.length === chunkCount ? undefined : ',
    replacement: 'return manifest.digests.length >= 0 ? undefined : ',
    checks: [test('direct-filler')]
  },
  {
    name: 'held reads: repeated after a silent one',
    file: 'src/follow/heldReads.ts',
    text: 'for (const read of [...heldReads]) read.repeat()',
    replacement: '',
    checks: [test('silent-feeds')]
  },
  {
    name: 'held reads: a repeat starts no further ones',
    file: 'src/follow/heldReads.ts',
    text: 'isSilent(answer) && heldReads.delete(read)',
    replacement: 'isSilent(answer)',
    checks: [test('silent-feeds')]
  },
  {
    name: 'suspects: evaluated once for all evidence of a crash',
    file: 'src/routing/suspects.ts',
    text: 'isOutdated ||= merged.cuts.length >= QUARANTINE_CRASH_COUNT || isQuarantinedKey(received.digest)',
    replacement: 'isOutdated ||= merged.cuts.length >= QUARANTINE_CRASH_COUNT || isQuarantinedKey(received.digest)\n      updateQuarantine()',
    checks: [test('quarantine-crowds')]
  },
  {
    name: 'answers: small parts share blocks',
    file: 'src/edge/byteCollector.ts',
    text: 'part.length >= LARGE_PART_BYTES || ',
    replacement: 'part.length >= 0 || ',
    checks: [test('byte-collector')]
  },
  {
    name: 'addresses: tried again while taken',
    file: 'src/edge/listening.ts',
    text: "!PASSING_ERROR_CODES.has(error.code ?? '') || ",
    replacement: 'error !== undefined || ',
    checks: [test('process-ends')]
  },
  {
    name: 'signals: a stop under way is not cut short',
    file: 'src/edge/signals.ts',
    text: 'if (isStopping) { handlers.onStopRepeated(); return }',
    replacement: 'if (isStopping) process.exit(1)',
    checks: [test('process-ends')]
  },
  {
    name: 'suspects: an end that is explained speaks against no other',
    file: 'src/routing/suspects.ts',
    text: '.filter(end => !isExplained(end))',
    replacement: '',
    checks: [test('suspects')]
  },
  {
    name: 'suspects: none of two that were always cut together',
    file: 'src/routing/suspects.ts',
    text: 'if (isCertain || !hasAlternative()) addCrashing(candidate)',
    replacement: 'addCrashing(candidate)',
    checks: [test('suspects')]
  },
  {
    name: 'suspects: ends in the order of their times',
    file: 'src/routing/suspects.ts',
    text: 'a.end.atMs - b.end.atMs || ',
    replacement: '',
    checks: [test('suspects'), test('suspects-model')]
  },
  {
    name: 'suspects: cuts soon after an answer count for nothing',
    file: 'src/routing/evidence.ts',
    text: 'atMs > answeredAtMs + trustMs',
    replacement: 'atMs > answeredAtMs',
    checks: [test('suspects')]
  },
  {
    name: 'suspects: cuts by one end count once',
    file: 'src/routing/evidence.ts',
    text: '&& !cuts.some(other => isSameCrash(cut, other))',
    replacement: '',
    checks: [test('suspects')]
  },
  {
    name: 'suspects: tries end',
    file: 'src/routing/suspects.ts',
    text: 'delaysMs[Math.max(...evidence.map(({ triedAtMs }) => triedAtMs.length))] ?? Infinity',
    replacement: 'delaysMs[0] ?? Infinity',
    checks: [test('suspects')]
  },
  {
    name: 'crashing parts: an answer before a cut is no credit',
    file: 'src/routing/evidence.ts',
    text: 'partIdOf(current.digest) === undefined ? ANSWER_TRUST_MS : 0',
    replacement: 'ANSWER_TRUST_MS',
    checks: [test('crashing-parts')]
  },
  {
    name: 'crashing parts: cuts that are explained speak against no other part',
    file: 'src/routing/crashingParts.ts',
    text: '.filter(cut => !explained.some(other => Evidence.isSameCrash(cut, other)))',
    replacement: '',
    checks: [test('crashing-parts')]
  },
  {
    name: 'crashing parts: crashes at one moment are one incident',
    file: 'src/routing/crashingParts.ts',
    text: 'if (atMs - startedAtMs < SAME_INCIDENT_MS) continue',
    replacement: '',
    checks: [test('crashing-parts')]
  },
  {
    name: 'crashing parts: parts that cannot be told apart count together',
    file: 'src/routing/crashingParts.ts',
    text: 'groups.push([rival.digest, ...companionsOf(rival)].sort())',
    replacement: 'groups.push([rival.digest])',
    checks: [test('crashing-parts')]
  },
  {
    name: 'suspects: other gateways are told',
    file: 'src/ingress/gateway.ts',
    text: 'if (message.requests !== undefined) quarantine.applyNews(message.requests)',
    replacement: '',
    checks: [test('crashing-requests')]
  },
  {
    name: 'suspects: rows are read',
    file: 'src/ingress/quarantine.ts',
    text: 'applyRows(rowFollower.mirror.live())',
    replacement: '',
    checks: [test('crashing-requests')]
  },
  {
    name: 'suspects: rows are written',
    file: 'src/ingress/quarantine.ts',
    text: 'if (news !== undefined && triedCount < triedAtMs.length) changes.push',
    replacement: 'if (news === undefined) changes.push',
    checks: [test('crashing-requests')]
  },
  {
    name: 'quarantine: a probe is not sent to a start that its request ended',
    file: 'src/ingress/ingress.ts',
    text: 'uncut.length > 0 ? uncut : candidates',
    replacement: 'candidates',
    checks: [test('crashing-requests')]
  },
  {
    name: 'quarantine: a probe that provably did not run is repeated',
    file: 'src/ingress/ingress.ts',
    text: 'isQuarantined && !isProbeRepeatable',
    replacement: 'isQuarantined',
    checks: [test('crashing-requests')]
  },
  {
    name: 'quarantine: sends that endpoints turned away count as probes',
    file: 'src/routing/suspects.ts',
    text: 'otherCount + dates.length <= trialDelaysMsOf(key).length',
    replacement: 'true',
    checks: [test('suspects'), test('crashing-requests')]
  },
  {
    name: 'quarantine: a probe is not repeated when its request was cut since',
    file: 'src/routing/suspects.ts',
    text: 'Evidence.lastActivityAtMs(evidence) <= trial.sentAtMs && otherCount',
    replacement: 'otherCount',
    checks: [test('suspects')]
  },
  {
    name: 'quarantine: no repeat of a call that was tried',
    file: 'src/ingress/ingress.ts',
    text: 'call.probe !== undefined || quarantineActionOf(call)',
    replacement: 'quarantineActionOf(call)',
    checks: [test('crashing-requests')]
  },
  {
    name: 'abandoned: attempts of calls that end before their answer',
    file: 'src/ingress/ingress.ts',
    text: 'if (attempt.exchange.isSent()) quarantine.recordAbandoned(keysOf(call), attempt.listing)',
    replacement: '',
    checks: [test('crashing-unseen')]
  },
  {
    name: 'abandoned: an endpoint that refuses connections has ended',
    file: 'src/ingress/ingress.ts',
    text: "if (stage === 'refused') recordEndpointEnd(row)",
    replacement: '',
    checks: [test('crashing-unseen')]
  },
  {
    name: 'abandoned: another start at an address ends the one before',
    file: 'src/ingress/gateway.ts',
    text: 'if (ended !== undefined && ended !== currentRow) ingress.recordEndpointEnd(ended)',
    replacement: '',
    checks: [test('crashing-seldom')]
  },
  {
    name: 'abandoned: silence under a call that runs once',
    file: 'src/ingress/ingress.ts',
    text: 'if (isEndpointSilent && !attempt.isKeptDespiteSilence) quarantine.recordInterruption(keysOf(call), attempt.listing)',
    replacement: '',
    checks: [test('crashing-seldom')]
  },
  {
    name: 'abandoned: what an endpoint outlived',
    file: 'src/routing/abandoned.ts',
    text: ' && aliveAtMs - attempt.atMs <= ATTRIBUTION_WINDOW_MS',
    replacement: '',
    checks: [test('abandoned')]
  },
  {
    name: 'notices: endpoints that leave get no calls',
    file: 'src/routing/notices.ts',
    text: "if (notice.leavingUntilMs > nowMs) return 'leaving'\n      ",
    replacement: '',
    checks: [test('notices')]
  },
  {
    name: 'notices: endpoints that want no calls get none',
    file: 'src/routing/choice.ts',
    text: 'context.notices.holdOf(row.listing, nowMs) !== undefined',
    replacement: 'false',
    checks: [test('notices')]
  },
  {
    name: 'notices: of one start',
    file: 'src/routing/notices.ts',
    text: 'notice !== undefined && isSameStart(notice.start, start)',
    replacement: 'notice !== undefined',
    checks: [test('notices-table')]
  },
  {
    name: 'notices: a time is never made shorter',
    file: 'src/routing/notices.ts',
    text: 'Math.max(notice.quietUntilMs, nowMs + Math.min(quietForMs, MAX_HOLD_MS))',
    replacement: 'nowMs + Math.min(quietForMs, MAX_HOLD_MS)',
    checks: [test('notices-table')]
  },
  {
    name: 'notices: a time is bounded',
    file: 'src/routing/notices.ts',
    text: 'nowMs + Math.min(quietForMs, MAX_HOLD_MS)',
    replacement: 'nowMs + quietForMs',
    checks: [test('notices-table')]
  },
  {
    name: 'notices: one call at a time after the time',
    file: 'src/routing/notices.ts',
    text: 'notice.isReturning && notice.trialUntilMs > nowMs',
    replacement: 'false',
    checks: [test('notices-table')]
  },
  {
    name: 'notices: an earlier start says nothing of a later one',
    file: 'src/routing/notices.ts',
    text: 'if (existing === undefined && isOlder(start, notices.get(start.endpointId)?.start)) return undefined',
    replacement: '',
    checks: [test('notices-table')]
  },
  {
    name: 'notices: not of answers of another endpoint',
    file: 'platform/dialect.ts',
    text: 'status !== MISDIRECTED && (textHeader(headers, LEAVING)',
    replacement: '(textHeader(headers, LEAVING)',
    checks: [test('notices-table')]
  },
  {
    name: 'answers: bounded',
    file: 'src/ingress/ingress.ts',
    text: "if (attempt.body.sizeBytes() > ANSWER_LIMIT_BYTES) rejectAttempt(call, attempt, 'answer too large')",
    replacement: '',
    checks: [test('endless-answers')]
  },
  {
    name: 'events: bounded',
    file: 'src/ingress/ingress.ts',
    text: "if (attempt.splitter.pendingBytes() > EVENT_LIMIT_BYTES) { rejectAttempt(call, attempt, 'event too large'); return }",
    replacement: '',
    checks: [test('endless-answers')]
  },
  {
    name: 'streams: bytes of an event are no sign of life',
    file: 'src/ingress/ingress.ts',
    text: 'Routing.Endpoints.recordSignOfLife(attempt.row, nowMs)\n    if (attempt.splitter',
    replacement: 'Routing.Endpoints.recordSignOfLife(attempt.row, nowMs)\n    attempt.lastReceivedAtMs = nowMs\n    if (attempt.splitter',
    checks: [test('endless-answers')]
  },
  {
    name: 'answers: one that is given up looks cut',
    file: 'src/ingress/ingress.ts',
    text: 'if (call.response.headersSent) { call.response.destroy(); return }',
    replacement: 'if (call.response.headersSent) { call.response.end(); return }',
    checks: [test('endless-answers')]
  },
  {
    name: 'answers: a stream does not end with its connection',
    file: 'src/ingress/bodies.ts',
    text: "response.writeHead(status, [...rawHeaders, 'Transfer-Encoding', 'chunked'])",
    replacement: 'response.useChunkedEncodingByDefault = false\n    response.writeHead(status, [...rawHeaders])',
    checks: [test('answer-framing')]
  },
  {
    name: 'answers: callers of HTTP/1.0 get a length',
    file: 'src/ingress/bodies.ts',
    text: "httpVersionMajor === 1 && httpVersionMinor > 0 ? 'chunked' : 'held'",
    replacement: "'chunked'",
    checks: [test('answer-framing')]
  },
  {
    name: 'answers: what is held for a caller is bounded',
    file: 'src/ingress/bodies.ts',
    text: "body.sizeBytes() > limitBytes ? 'tooLarge' : 'written'",
    replacement: "'written'",
    checks: [test('answer-framing')]
  },
  {
    name: 'answers: without a body, the size is that of the endpoint',
    file: 'src/ingress/bodies.ts',
    text: "if (!MessageHeads.isBodiless(method, status)) return ['Content-Length', String(body.length)]",
    replacement: "return ['Content-Length', String(body.length)]",
    checks: [test('answer-framing')]
  },
  {
    name: 'unread answers: those that have ended are kept',
    file: 'src/edge/clientConnections.ts',
    text: '(hasEnded ? ENDED_UNREAD_TIMEOUT_MS : UNREAD_TIMEOUT_MS)',
    replacement: 'UNREAD_TIMEOUT_MS',
    checks: [test('unread-answers')]
  },
  {
    name: 'unread answers: progress within one write',
    file: 'src/edge/clientConnections.ts',
    text: 'Number.isFinite(sentBytes) ? sentBytes : socket.bytesWritten',
    replacement: 'socket.bytesWritten',
    checks: [test('unread-answers')]
  },
  {
    name: 'stop: waits for answers that are not sent',
    file: 'src/ingress/gateway.ts',
    text: ' || callers.unansweredCount() > 0',
    replacement: '',
    checks: [test('late-stop')]
  },
  {
    name: 'stop: closes no connection with an answer that is not sent',
    file: 'src/ingress/gateway.ts',
    text: 'Net.Server.prototype.close.call(server)',
    replacement: 'server.close()',
    checks: [test('late-stop')]
  },
  {
    name: 'news: dropped until they can be handled',
    file: 'src/follow/node.ts',
    text: 'onNews?.(news)',
    replacement: 'onNews!(news)',
    checks: [test('process-ends')]
  },
  {
    name: 'answers: no transfer coding but chunks',
    file: 'src/edge/messageHeads.ts',
    text: 'problemOfFields(rawHeaders) ?? problemOfCoding(rawHeaders)',
    replacement: 'problemOfFields(rawHeaders)',
    checks: [test('answer-framing')]
  },
  {
    name: 'stop: the rest of an answered request is no new one',
    file: 'src/edge/clientConnections.ts',
    text: "request.once('close', () => { if (isIdle(state)) state.readBytesAtIdle = socket.bytesRead })",
    replacement: '',
    checks: [test('idle-connections')]
  },
  {
    name: 'answers: a reset at an agent is no end',
    file: 'src/agent/answers.ts',
    text: ' && !options.wasReset()',
    replacement: '',
    checks: [test('answer-framing')]
  },
  {
    name: 'statuses: none above those of HTTP',
    file: 'src/edge/messageHeads.ts',
    text: ' && status <= FINAL_STATUS_MAX',
    replacement: '',
    checks: [test('invalid-statuses')]
  },
  {
    name: 'statuses: a change of the protocol is no answer',
    file: 'src/edge/httpClient.ts',
    text: "outgoing.on('upgrade', (incoming, socket) => {",
    replacement: "outgoing.on('unused', (incoming, socket) => {",
    checks: [test('invalid-statuses')]
  },
  {
    name: 'statuses: those of other processes',
    file: 'src/edge/httpClient.ts',
    // eslint-disable-next-line no-template-curly-in-string
    text: 'if (!MessageHeads.isFinalStatus(status)) { fail(`malformed answer: status ${status}`); return }',
    replacement: '',
    checks: [test('invalid-statuses')]
  },
  {
    name: 'statuses: those that an agent passes on',
    file: 'src/agent/calls.ts',
    // eslint-disable-next-line no-template-curly-in-string
    text: 'if (problem !== undefined) { discard(exchange, `malformed answer: ${problem}`); return }',
    replacement: '',
    checks: [test('invalid-statuses')]
  },
  {
    name: 'statuses: those of agents',
    file: 'src/gateway/attempts.ts',
    text: 'if (problem !== undefined) {\n        failMalformed',
    replacement: 'if (false) {\n        failMalformed',
    checks: [test('invalid-statuses')]
  },
  {
    name: 'statuses: those saved with a claim',
    file: 'src/gateway/callers.ts',
    text: "if (!Edge.MessageHeads.isFinalStatus(outcome.httpStatus)) { Edge.HttpServer.sendCode(exchange.response, 'answerLost', { callId }); return }",
    replacement: '',
    checks: [test('invalid-statuses')]
  },
  {
    name: 'late calls leave the last slot to their own rank',
    file: 'src/routing/crowding.ts',
    text: '(rank?.index ?? 0) + Number(late && rank !== undefined)',
    replacement: '0',
    checks: [test('ranks')]
  },
  {
    name: 'a gateway that reports too much',
    file: 'src/routing/slotShares.ts',
    text: 'Math.min(MAX_RELATIVE_DEMAND, Math.max(MIN_RELATIVE_DEMAND, callsPerSecond / meanPerSecond))',
    replacement: 'callsPerSecond / meanPerSecond',
    checks: [test('even-load')]
  },
  {
    name: 'holders that lag give way',
    file: 'src/edge/clientMemory.ts',
    text: 'holding.lagMs(nowMs) > MAX_LAG_MS',
    replacement: 'false',
    checks: [test('client-memory')]
  }
]
