/**
 * World of claims: two gateways and one agent of a service whose calls may not be repeated.
 *
 * @packageDocumentation
 */
import * as Agent from '../../../src/agent/index.ts'
import * as Control from '../../../src/control/index.ts'
import * as Core from '../../../src/core/index.ts'
import * as Gateway from '../../../src/gateway/index.ts'
import * as ClaimWriter from '../../../src/gateway/claimWriter.ts'
import type * as Schemas from '../../../src/schema/index.ts'
import * as Deployment from '../deployment.ts'
import * as Endpoint from '../endpoint.ts'
import * as Harness from '../harness.ts'
import * as Store from '../store.ts'

const AGENT_ID = 'filing-api-1'
const LINK_MS = 2
const WORK_MS = 120
const REPORT_POLL_MS = 250
const FENCE_TIMEOUT_MS = 2_000
const SILENT_MS = 3_000
const DEADLINE_MS = 6_000
const ANSWER_SLACK_MS = 500
const MAX_SEND_COUNT = 5

interface Submission {
  readonly key: string | undefined
  readonly digest: string
  sendCount: number
}

interface Sent {
  readonly submission: Submission
  readonly gatewayIndex: number
  readonly callId: string
  attemptId: string
  answer: string | undefined
  ended: string | undefined
  toldNotRun: boolean
}

interface LiveGateway {
  readonly process: Harness.Process<Gateway.Messages.Input>
}

/**
 * Creates the world.
 *
 * @param harness - The run's harness.
 * @returns The world.
 */
export const createClaimsWorld: Harness.WorldFactory = harness => {
  const { time, random } = harness
  const store = Store.createFakeStore(harness)
  const endpoint = Endpoint.createFakeEndpoint(harness, AGENT_ID, 'plain')
  const sent = new Map<string, Sent>()
  const submissions: Submission[] = []
  const fenceAsks = new Map<string, (answer: Schemas.Calls.FenceAnswer) => void>()
  const attempts = new Map<string, { readonly envelope: Schemas.Calls.CallEnvelope, readonly reply: (end: Gateway.Messages.AttemptEnd) => void }>()
  const gateways: LiveGateway[] = []
  let agentCount = 0
  let stalledUntilMs = 0
  let silentCount = 0
  let agent = startAgent()

  function startAgent (): { readonly process: Harness.Process<Agent.Messages.Input>, readonly tables: Agent.Tables.Tables } {
    const held = Control.Documents.createHeldDocuments()
    held.adopt({ kind: 'manifest', version: 1, body: Deployment.manifestOf('v1') })
    held.adopt({ kind: 'placement', version: 1, body: Deployment.planOf(AGENT_ID, 'filing-api', undefined, 1) })
    const tables = Agent.Tables.createTables({ instanceId: AGENT_ID, kind: 'agent', zone: 'kartli', region: 'kartli', service: 'filing-api', incarnation: `agent/${++agentCount}` }, held)
    const process = Harness.startProcess<Agent.Tables.Tables, Agent.Messages.Input, Agent.Messages.Command>({ harness, clockOffsetMs: agentCount * 1_000_000, tables, systems: Agent.Systems.SYSTEMS, perform: command => { Core.Loop.dispatch(agentPerform, command) } })
    const see = (): void => {
      if (!process.alive()) return
      process.push({ kind: 'endpointSeen', load: endpoint.loadReport() })
      time.after(100, see)
    }
    time.after(0, see)
    return { process, tables }
  }
  const agentPerform: Core.Loop.Handlers<Agent.Messages.Command> = {
    admit: ({ attemptId }) => {
      const attempt = attempts.get(attemptId)
      if (attempt === undefined) { agent.process.push({ kind: 'callEnded', attemptId, ending: 'neverSent' }); return }
      const served = agent
      endpoint.run(attempt.envelope, WORK_MS, (work, ending) => {
        const outcome = outcomeOf(work.envelope)
        served.process.push({ kind: 'callEnded', attemptId, ending, ...(ending === 'whole' ? { outcome } : {}) })
        if (!served.process.alive()) return
        attempt.reply(ending === 'whole' ? { run: 'ran', code: 'ok', outcome } : { run: 'unknown', code: 'endpointFailed' })
      })
    },
    refuse: ({ attemptId, refusal }) => {
      const { code, ...details } = refusal
      attempts.get(attemptId)?.reply({ run: Core.Codes.CODES[code].run, code, ...details })
    },
    cancel: ({ attemptId }) => { endpoint.cancel(attemptId) },
    answerFence: ({ askId, answer }) => { fenceAsks.get(askId)?.(answer) },
    weights: () => {},
    order: () => {}
  }
  const crossLink = (work: () => void): void => {
    const stallMs = Math.max(0, stalledUntilMs - time.nowMs())
    if (stallMs > 0) harness.met('linkStall')
    time.after(LINK_MS + stallMs, work)
  }

  const dispatch = (gatewayIndex: number, command: Gateway.Messages.Dispatch): void => {
    const { envelope } = command
    const call = sent.get(envelope.callId)
    if (call === undefined) return
    call.attemptId = envelope.attemptId
    call.answer = undefined
    const gateway = gateways[gatewayIndex]
    let over = false
    const end = (result: Gateway.Messages.AttemptEnd): void => {
      if (over) return
      over = true
      if (call.attemptId === envelope.attemptId) call.answer = result.outcome?.bodyBase64
      gateway?.process.push({ kind: 'attemptEnded', callId: envelope.callId, attemptId: envelope.attemptId, end: result })
    }
    const silent = silentCount > 0
    if (silent) { silentCount--; harness.met('silentConnection') }
    const before = silent && random.below(2) === 0
    if (silent) time.after(SILENT_MS, () => { end({ run: 'unknown', code: 'outcomeUnknown', reason: 'silent connection' }) })
    if (before) return
    crossLink(() => {
      if (!agent.process.alive()) { if (!silent) end({ run: 'notRun', code: 'endpointUnreachable' }); return }
      const served = agent
      attempts.set(envelope.attemptId, { envelope, reply: result => { if (!silent) crossLink(() => { end(result) }) } })
      served.process.push({ kind: 'callOffered', envelope })
      watchDeath(served.process, () => { if (!silent) end({ run: 'unknown', code: 'outcomeUnknown', reason: 'connection reset' }) })
    })
  }
  const watchDeath = (process: Harness.Process<Agent.Messages.Input>, onDeath: () => void): void => {
    time.after(20, () => {
      if (process.alive()) { if (time.nowMs() < 60_000) watchDeath(process, onDeath) } else onDeath()
    })
  }
  const askFence = (gatewayIndex: number, command: Extract<Gateway.Messages.Command, { kind: 'askFence' }>): void => {
    const askId = harness.makeId()
    const gateway = gateways[gatewayIndex]
    let over = false
    const answer = (given: Schemas.Calls.FenceAnswer | undefined): void => {
      if (over) return
      over = true
      gateway?.process.push({ kind: 'fenceAnswered', callId: command.callId, attemptId: command.question.attemptId, answer: given })
    }
    time.after(FENCE_TIMEOUT_MS, () => { answer(undefined) })
    fenceAsks.set(askId, given => { crossLink(() => { answer(given) }) })
    crossLink(() => { agent.process.push({ kind: 'fenceAsked', askId, question: command.question }) })
  }
  const conclude = (callId: string, said: string, toldNotRun: boolean, text: string | undefined): void => {
    const call = sent.get(callId)
    if (call === undefined || call.ended !== undefined) return
    call.ended = said
    call.toldNotRun = toldNotRun
    if (said === 'answer') harness.expect('wholeAnswer', text === answerOf(call.submission.digest), () => ({ callId, text, expected: answerOf(call.submission.digest) }))
    else repeatLater(call.submission)
  }
  const repeatLater = (submission: Submission): void => {
    if (submission.key === undefined || submission.sendCount >= MAX_SEND_COUNT) return
    time.after(200 + random.below(1_500), () => { send(submission) })
  }

  function startGateway (index: number): LiveGateway {
    const held = Control.Documents.createHeldDocuments()
    held.adopt({ kind: 'manifest', version: 1, body: Deployment.manifestOf('v1') })
    const instanceId = `gateway-${index}`
    const tables = Gateway.Tables.createTables({ instanceId, kind: 'gateway', zone: 'kartli', region: 'kartli', incarnation: harness.makeId() }, held, time.nowMs, harness.makeId)
    const writer = ClaimWriter.createClaimWriter({
      tables: store.clientOf(instanceId),
      gatherMs: 2,
      saveGatherMs: 25,
      intervalMs: () => 10,
      clock: time.nowMs,
      wait: time.sleep,
      random,
      makeId: harness.makeId,
      onResult: (claimKey, callId, result) => { process.push({ kind: 'claimAnswered', claimKey, callId, result }) }
    })
    const perform: Core.Loop.Handlers<Gateway.Messages.Command> = {
      dispatch: command => { dispatch(index, command.dispatch) },
      cancelAttempt: command => {
        const call = sent.get(command.callId)
        const attemptId = call?.attemptId ?? ''
        crossLink(() => { agent.process.push({ kind: 'callerGone', attemptId }) })
      },
      deliver: command => { conclude(command.callId, 'answer', false, sent.get(command.callId)?.answer) },
      replay: command => { conclude(command.callId, 'answer', false, 'bodyBase64' in command.outcome ? command.outcome.bodyBase64 : undefined) },
      finish: command => { conclude(command.callId, command.code, Core.Codes.CODES[command.code].run === 'notRun', undefined) },
      writeClaim: command => { writer.write(command.write) },
      abandonClaim: command => { writer.abandon(command.callId) },
      commitQuarantine: () => {},
      askFence: command => { askFence(index, command) }
    }
    const process = Harness.startProcess<Gateway.Tables.Tables, Gateway.Messages.Input, Gateway.Messages.Command>({ harness, tables, systems: Gateway.Systems.SYSTEMS, perform: command => { if (process.alive()) Core.Loop.dispatch(perform, command) } })
    const poll = (): void => {
      if (!process.alive()) return
      process.push({ kind: 'instances', instances: [{ instanceId: AGENT_ID, kind: 'agent', zone: 'kartli', region: 'kartli', host: '127.0.0.1', port: 1, service: 'filing-api', state: 'live' }] })
      process.push({ kind: 'report', endpointId: AGENT_ID, report: agent.process.alive() ? Agent.Tables.reportOf(agent.tables) : undefined })
      time.after(REPORT_POLL_MS, poll)
    }
    time.after(1, poll)
    return { process }
  }
  const send = (submission: Submission): void => {
    submission.sendCount++
    const gatewayIndex = random.below(gateways.length)
    const callId = harness.makeId()
    sent.set(callId, { submission, gatewayIndex, callId, attemptId: '', answer: undefined, ended: undefined, toldNotRun: false })
    const call: Gateway.Messages.ArrivedCall = {
      callId,
      workspace: 'operator-1',
      method: 'POST',
      path: '/filings',
      contentType: undefined,
      digest: submission.digest,
      idempotencyKey: submission.key,
      stream: false,
      adapter: undefined,
      priority: undefined,
      timeLeftMs: DEADLINE_MS
    }
    const gateway = gateways[gatewayIndex]
    gateway?.process.push({ kind: 'callArrived', call })
    time.after(DEADLINE_MS + ANSWER_SLACK_MS, () => {
      const entry = sent.get(callId)
      if (entry === undefined || entry.ended !== undefined) return
      harness.expect('wholeAnswer', gateways[gatewayIndex] !== gateway, () => ({ callId, reason: 'no answer by the deadline' }))
      conclude(callId, 'nothing', false, undefined)
    })
  }
  const submit = (key: string | undefined, body: string): void => {
    const submission = { key, digest: Core.Hash.sha256(body), sendCount: 0 }
    submissions.push(submission)
    send(submission)
  }
  gateways.push(startGateway(0), startGateway(1))

  return {
    actions: {
      submit: amount => { submit(`return-${amount % 8}`, `return ${amount % 8}`) },
      submitTwice: amount => {
        submit(`return-${amount % 8}`, `return ${amount % 8}`)
        time.after(amount, () => { submit(`return-${amount % 8}`, `return ${amount % 8}`) })
      },
      submitConflicting: amount => { submit(`return-${amount % 8}`, `other return ${amount}`) },
      submitUnkeyed: amount => { submit(undefined, `return without key ${amount}`) },
      instanceDeath: amount => {
        harness.met('instanceDeath')
        if (amount % 3 === 0) {
          endpoint.crash()
        } else if (amount % 3 === 1) {
          agent.process.kill()
          time.after(300 + amount * 10, () => { agent = startAgent() })
        } else {
          const index = amount % 2
          gateways[index]?.process.kill()
          gateways[index] = startGateway(index)
        }
      },
      storeDown: amount => { store.goDown(amount * 30) },
      storeSlow: amount => { store.goSlow(amount * 40) },
      lostAnswer: amount => { store.loseAnswers(amount * 10) },
      pausedHolder: amount => {
        harness.met('pausedHolder')
        store.pause(`gateway-${amount % 2}`, amount * 30)
      },
      linkStall: amount => { stalledUntilMs = time.nowMs() + amount * 25 },
      silentConnection: amount => { silentCount += 1 + amount % 3 }
    },
    finish: () => {
      for (const [key, count] of endpoint.startsByKey) harness.expect('atMostOnce', count <= 1, () => ({ key, count }))
      for (const [callId, count] of endpoint.startsByCall) harness.expect('atMostOnce', count <= 1, () => ({ callId, count }))
      for (const call of sent.values()) {
        harness.expect('truthfulRefusal', !call.toldNotRun || !endpoint.startsByCall.has(call.callId), () => ({ callId: call.callId, said: call.ended, reason: 'a call told as not run was run' }))
      }
    }
  }
}

function answerOf (digest: string): string {
  return Buffer.from(`filed ${digest}`).toString('base64')
}

function outcomeOf (envelope: Schemas.Calls.CallEnvelope): Schemas.Calls.Outcome {
  return { httpStatus: 200, contentType: 'text/plain', bodyBase64: answerOf(envelope.digest) }
}
