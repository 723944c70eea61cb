/**
 * World of one gateway: its loop between callers of streams and fake agents that die, stall and turn cold.
 *
 * @packageDocumentation
 */
import * as Agent from '../../../src/agent/index.ts'
import * as Control from '../../../src/control/index.ts'
import * as Core from '../../../src/core/index.ts'
import * as Gateway from '../../../src/gateway/index.ts'
import type * as Schemas from '../../../src/schema/index.ts'
import * as StandIns from '../../../standins/index.ts'
import * as Deployment from '../deployment.ts'
import * as Harness from '../harness.ts'

const AGENT_COUNT = 4
const LINK_MS = 2
const TOKEN_MS = 30
const TOKEN_COUNT = 20
const COLD_SLOWDOWN = 3
const REPORT_POLL_MS = 250
const SILENT_MS = 2_000
const LATE_MS = 100
const COMMIT_MS = 20
const DEADLINE_MS = 8_000
const ANSWER_SLACK_MS = 500

interface FakeAgent {
  readonly instanceId: string
  readonly zone: string
  incarnationCount: number
  version: string
  limitCount: number
  coldUntilMs: number
  deadUntilMs: number
  silentCount: number
  listedState: 'live' | 'leaving'
  leavingSinceMs: number
  readonly streams: Map<string, (end: Gateway.Messages.AttemptEnd) => void>
}

interface Caller {
  readonly callId: string
  readonly prompt: string
  readonly poison: boolean
  attemptId: string
  readonly tokens: string[]
  endMark: boolean
  ended: string | undefined
  beganCount: number
}

/**
 * Creates the world.
 *
 * @param harness - The run's harness.
 * @returns The world.
 */
export const createGatewayWorld: Harness.WorldFactory = harness => {
  const { time } = harness
  const held = Control.Documents.createHeldDocuments()
  held.adopt({ kind: 'manifest', version: 1, body: Deployment.manifestOf('v1') })
  const tables = Gateway.Tables.createTables({ instanceId: 'gateway-1', kind: 'gateway', zone: 'kartli', region: 'kartli', incarnation: 'gateway/1' }, held, time.nowMs, harness.makeId)
  const callers = new Map<string, Caller>()
  const drainedSince = new Map<string, number>()
  const stalledUntil = new Map<string, number>()
  let drainVersion = 0
  let lateCount = 0
  let stopping = false
  const agents = Array.from({ length: AGENT_COUNT }, (_, index): FakeAgent => ({
    instanceId: `fescue-llm-${index + 1}`,
    zone: Deployment.ZONES[index % Deployment.ZONES.length] ?? '',
    incarnationCount: 1,
    version: 'v1',
    limitCount: Deployment.WARM_LIMIT_COUNT,
    coldUntilMs: 0,
    deadUntilMs: 0,
    silentCount: 0,
    listedState: 'live',
    leavingSinceMs: Infinity,
    streams: new Map()
  }))
  const agentAt = (amount: number): FakeAgent => agents[amount % AGENT_COUNT] as FakeAgent
  const alive = (agent: FakeAgent): boolean => time.nowMs() >= agent.deadUntilMs
  const incarnationOf = (agent: FakeAgent): string => `${agent.instanceId}/${agent.incarnationCount}`
  const crossLink = (zone: string, work: () => void): void => {
    const stallMs = Math.max(0, (stalledUntil.get(zone) ?? 0) - time.nowMs())
    if (stallMs > 0) harness.met('linkStall')
    time.after(LINK_MS + stallMs, work)
  }
  const reportOf = (agent: FakeAgent): Schemas.Control.AgentReport => ({
    ...Agent.Tables.reportOf(Agent.Tables.createTables({ instanceId: agent.instanceId, kind: 'agent', zone: agent.zone, region: agent.zone, service: 'fescue-llm', incarnation: incarnationOf(agent) }, held)),
    state: 'live',
    modelName: 'draft-model',
    modelVersion: agent.version,
    limitCount: agent.limitCount,
    activeCount: agent.streams.size,
    queuedCount: 0
  })
  const kill = (agent: FakeAgent, awayMs: number): void => {
    const streams = [...agent.streams.values()]
    agent.streams.clear()
    agent.incarnationCount++
    agent.deadUntilMs = time.nowMs() + awayMs
    for (const cut of streams) cut({ run: 'unknown', code: 'streamCut', reason: 'connection reset' })
  }
  const refusalOf = (agent: FakeAgent, envelope: Schemas.Calls.CallEnvelope): Core.Codes.CodeName | undefined => {
    if (envelope.agentIncarnation !== incarnationOf(agent)) return 'staleIncarnation'
    if (envelope.modelVersion !== undefined && envelope.modelVersion !== agent.version) return 'modelNotLoaded'
    return agent.streams.size >= agent.limitCount ? 'overCapacity' : undefined
  }

  const dispatch = ({ envelope, endpointId }: Gateway.Messages.Dispatch): void => {
    const caller = callers.get(envelope.callId)
    const agent = agents.find(candidate => candidate.instanceId === endpointId)
    if (caller === undefined || agent === undefined) return
    const drained = drainedSince.get(agent.zone) ?? Infinity
    harness.expect('drainedZone', time.nowMs() - drained < Deployment.KNOWN_DRAIN_BOUND_MS, () => ({ callId: envelope.callId, zone: agent.zone, drained }))
    harness.expect('leavingEndpoint', time.nowMs() - agent.leavingSinceMs < REPORT_POLL_MS + Deployment.KNOWN_DRAIN_BOUND_MS, () => ({ callId: envelope.callId, endpointId }))
    caller.attemptId = envelope.attemptId
    let over = false
    const end = (result: Gateway.Messages.AttemptEnd): void => {
      if (over) return
      over = true
      agent.streams.delete(envelope.attemptId)
      const late = lateCount > 0
      if (late) lateCount--
      const tell = (said: Gateway.Messages.AttemptEnd): void => { gateway.push({ kind: 'attemptEnded', callId: envelope.callId, attemptId: envelope.attemptId, end: said }) }
      crossLink(agent.zone, () => {
        tell(result)
        if (late) time.after(LATE_MS, () => { tell({ run: 'ran', code: 'ok' }) })
      })
    }
    crossLink(agent.zone, () => {
      if (agent.silentCount > 0) {
        agent.silentCount--
        harness.met('silentConnection')
        time.after(SILENT_MS, () => { end({ run: 'unknown', code: 'outcomeUnknown', reason: 'silent connection' }) })
        return
      }
      if (!alive(agent)) { end({ run: 'notRun', code: 'endpointUnreachable' }); return }
      const refusal = refusalOf(agent, envelope)
      if (refusal !== undefined) { end({ run: 'notRun', code: refusal, retryAfterMs: 500 }); return }
      begin(agent, caller, envelope, end)
    })
  }
  const begin = (agent: FakeAgent, caller: Caller, envelope: Schemas.Calls.CallEnvelope, end: (result: Gateway.Messages.AttemptEnd) => void): void => {
    caller.beganCount++
    agent.streams.set(envelope.attemptId, end)
    const { version } = agent
    const { instanceId } = agent
    const incarnation = agent.incarnationCount
    if (caller.poison) {
      harness.met('poisonCall')
      kill(agent, 400)
      return
    }
    const stream = (index: number): void => {
      if (agent.incarnationCount !== incarnation || !agent.streams.has(envelope.attemptId)) return
      if (index >= TOKEN_COUNT) { crossLink(agent.zone, () => { takeEnd(caller, envelope.attemptId) }); end({ run: 'ran', code: 'ok' }); return }
      crossLink(agent.zone, () => { takeToken(caller, envelope.attemptId, index, StandIns.Engine.tokenOf(version, caller.prompt, index)) })
      time.after(time.nowMs() < agent.coldUntilMs ? TOKEN_MS * COLD_SLOWDOWN : TOKEN_MS, () => { stream(index + 1) })
    }
    gateway.push({ kind: 'callLoad', endpointId: instanceId, result: { callId: envelope.callId, attemptId: envelope.attemptId, code: 0, run: 'ran', agentIncarnation: incarnationOf(agent), limitCount: agent.limitCount, activeCount: agent.streams.size, queuedCount: 0, modelVersion: version } })
    stream(envelope.resumeFromIndex)
  }
  const takeToken = (caller: Caller, attemptId: string, index: number, text: string): void => {
    if (caller.attemptId !== attemptId || caller.ended !== undefined || index !== caller.tokens.length) return
    caller.tokens.push(text)
    gateway.push({ kind: 'streamProgress', callId: caller.callId, attemptId, nextIndex: caller.tokens.length })
  }
  const takeEnd = (caller: Caller, attemptId: string): void => {
    if (caller.attemptId === attemptId) caller.endMark = true
  }
  const conclude = (callId: string, said: string): void => {
    const caller = callers.get(callId)
    if (caller === undefined) return
    harness.expect('wholeAnswer', caller.ended === undefined, () => ({ callId, before: caller.ended, said, reason: 'a call ended twice' }))
    caller.ended = said
    if (said === 'answer') {
      const expected = ['v1', 'v2'].map(version => tokensOf(version, caller.prompt))
      harness.expect('wholeAnswer', caller.endMark && caller.tokens.length === TOKEN_COUNT, () => ({ callId, tokenCount: caller.tokens.length, endMark: caller.endMark }))
      harness.expect('wholeWeights', expected.includes(caller.tokens.join(' ')), () => ({ callId, tokens: caller.tokens, reason: 'tokens of more than one version' }))
    }
    const run = Core.Codes.CODES[said as Core.Codes.CodeName]?.run
    harness.expect('truthfulRefusal', run !== 'notRun' || caller.beganCount === 0 || caller.tokens.length === 0, () => ({ callId, said, beganCount: caller.beganCount }))
  }
  const perform: Core.Loop.Handlers<Gateway.Messages.Command> = {
    dispatch: command => { dispatch(command.dispatch) },
    cancelAttempt: command => {
      const caller = callers.get(command.callId)
      if (caller === undefined) return
      for (const agent of agents) agent.streams.delete(caller.attemptId)
      caller.attemptId = ''
    },
    deliver: command => { conclude(command.callId, 'answer') },
    replay: command => { conclude(command.callId, 'answer') },
    finish: command => { conclude(command.callId, command.code) },
    writeClaim: () => {},
    abandonClaim: () => {},
    commitQuarantine: ({ change }) => {
      const document = { kind: 'quarantine' as const, version: held.versions().quarantine + 1, body: Control.Quarantines.merge(held.quarantine(), change, time.nowMs()) }
      time.after(COMMIT_MS, () => { if (held.adopt(document)) gateway.push({ kind: 'document', document }) })
    },
    askFence: command => { gateway.push({ kind: 'fenceAnswered', callId: command.callId, attemptId: command.question.attemptId, answer: undefined }) }
  }
  const gateway = Harness.startProcess<Gateway.Tables.Tables, Gateway.Messages.Input, Gateway.Messages.Command>({ harness, tables, systems: Gateway.Systems.SYSTEMS, perform: command => { Core.Loop.dispatch(perform, command) } })
  const poll = (): void => {
    gateway.push({ kind: 'instances', instances: agents.map(agent => ({ instanceId: agent.instanceId, kind: 'agent', zone: agent.zone, region: agent.zone, host: '127.0.0.1', port: 1, service: 'fescue-llm', state: agent.listedState })) })
    for (const agent of agents) gateway.push({ kind: 'report', endpointId: agent.instanceId, report: alive(agent) ? reportOf(agent) : undefined })
    time.after(REPORT_POLL_MS, poll)
  }
  time.after(0, poll)
  const call = (amount: number, poison: boolean): void => {
    if (stopping) return
    const callId = harness.makeId()
    const prompt = poison ? 'poison' : `prompt ${amount % 10}`
    callers.set(callId, { callId, prompt, poison, attemptId: '', tokens: [], endMark: false, ended: undefined, beganCount: 0 })
    gateway.push({
      kind: 'callArrived',
      call: { callId, workspace: 'operator-1', method: 'POST', path: '/v1/drafts', contentType: undefined, digest: Core.Hash.sha256(prompt), idempotencyKey: undefined, stream: true, adapter: undefined, priority: undefined, timeLeftMs: DEADLINE_MS }
    })
    time.after(DEADLINE_MS + ANSWER_SLACK_MS, () => {
      harness.expect('wholeAnswer', callers.get(callId)?.ended !== undefined || !callers.has(callId), () => ({ callId, reason: 'no answer by the deadline' }))
    })
  }

  return {
    actions: {
      call: amount => { call(amount, false) },
      callMany: amount => { for (let index = 0; index < 4 + amount % 10; index++) call(amount + index, false) },
      callerLeaves: amount => {
        const open = [...callers.values()].filter(caller => caller.ended === undefined)
        const caller = open[amount % Math.max(1, open.length)]
        if (caller === undefined) return
        caller.ended = 'left'
        callers.delete(caller.callId)
        gateway.push({ kind: 'callerGone', callId: caller.callId })
      },
      drainZone: amount => {
        const zone = Deployment.ZONES[amount % 2] ?? ''
        const drained = amount % 3 !== 0
        if (drained) drainedSince.set(zone, Math.min(drainedSince.get(zone) ?? Infinity, time.nowMs()))
        else drainedSince.delete(zone)
        const document = { kind: 'drains' as const, version: ++drainVersion, body: { zones: [...drainedSince.keys()], instanceIds: [] } }
        if (held.adopt(document)) gateway.push({ kind: 'document', document })
      },
      leave: amount => {
        const agent = agentAt(amount)
        agent.listedState = 'leaving'
        agent.leavingSinceMs = Math.min(agent.leavingSinceMs, time.nowMs())
      },
      stop: () => {
        stopping = true
        gateway.push({ kind: 'stopping' })
      },
      lateAnswer: amount => { lateCount += 1 + amount % 3 },
      instanceDeath: amount => {
        harness.met('instanceDeath')
        kill(agentAt(amount), 200 + amount * 20)
      },
      linkStall: amount => { stalledUntil.set(Deployment.ZONES[amount % 2] ?? '', time.nowMs() + amount * 20) },
      versionChange: amount => {
        harness.met('versionChange')
        agentAt(amount).version = agentAt(amount).version === 'v1' ? 'v2' : 'v1'
      },
      coldTurn: amount => {
        harness.met('coldTurn')
        const agent = agentAt(amount)
        agent.coldUntilMs = time.nowMs() + 500 + amount * 20
        agent.limitCount = 1
        time.after(500 + amount * 20, () => { agent.limitCount = Deployment.WARM_LIMIT_COUNT })
      },
      poisonCall: amount => { call(amount, true) },
      silentConnection: amount => { agentAt(amount).silentCount += 1 + amount % 3 }
    },
    finish: () => {
      for (const caller of callers.values()) {
        harness.expect('gracefulStop', caller.ended !== undefined, () => ({ callId: caller.callId, reason: 'a call has no end' }))
      }
    }
  }
}

function tokensOf (version: string, prompt: string): string {
  return Array.from({ length: TOKEN_COUNT }, (_, index) => StandIns.Engine.tokenOf(version, prompt, index)).join(' ')
}
