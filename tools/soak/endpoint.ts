/**
 * Fake of an endpoint that does whatever it is told, and counts what it ran.
 *
 * It refuses nothing: a guard that is missing in front of it shows.
 *
 * @packageDocumentation
 */
import type * as Agent from '../../src/agent/index.ts'
import type * as Schemas from '../../src/schema/index.ts'
import type * as Harness from './harness.ts'

/** Work that the endpoint runs. */
export interface Work {
  readonly envelope: Schemas.Calls.CallEnvelope
  readonly version: string | undefined
  readonly incarnation: string
}

/** A fake endpoint. */
export interface FakeEndpoint {
  /** Runs a call; undefined when the endpoint answered that it holds no model. */
  run: (envelope: Schemas.Calls.CallEnvelope, workMs: number, onEnd: (work: Work, ending: Agent.Messages.Ending) => void) => Work | undefined
  cancel: (attemptId: string) => void
  /** Ends everything that runs and forgets the model. */
  crash: () => void
  turnCold: (durationMs: number) => void
  load: (model: Schemas.Manifest.Model | undefined) => void
  loadReport: () => Agent.Messages.EndpointLoad
  activeCount: () => number
  /** Times that the endpoint began calls, by call. */
  readonly startsByCall: ReadonlyMap<string, number>
  /** Times that the endpoint began calls, by idempotency key. */
  readonly startsByKey: ReadonlyMap<string, number>
}

const COLD_SLOWDOWN = 3

/**
 * Creates an endpoint that has just started.
 *
 * @param harness - Virtual time.
 * @param name - Prefix of its incarnations.
 * @param kind - An engine needs a model before it runs anything.
 * @returns The endpoint.
 */
export function createFakeEndpoint (harness: Harness.Harness, name: string, kind: 'engine' | 'plain'): FakeEndpoint {
  const { time } = harness
  const running = new Map<string, { work: Work, onEnd: (work: Work, ending: Agent.Messages.Ending) => void }>()
  const startsByCall = new Map<string, number>()
  const startsByKey = new Map<string, number>()
  let restartCount = 0
  let coldUntilMs = 0
  let model: Schemas.Manifest.Model | undefined
  const incarnation = (): string => `${name}/${restartCount}`
  const count = (counts: Map<string, number>, key: string): void => { counts.set(key, (counts.get(key) ?? 0) + 1) }
  const end = (attemptId: string, ending: Agent.Messages.Ending): void => {
    const entry = running.get(attemptId)
    if (entry === undefined) return
    running.delete(attemptId)
    entry.onEnd(entry.work, ending)
  }
  return {
    run: (envelope, workMs, onEnd) => {
      const work = { envelope, version: model?.version, incarnation: incarnation() }
      if (kind === 'engine' && model === undefined) { time.after(0, () => { onEnd(work, 'neverSent') }); return undefined }
      running.set(envelope.attemptId, { work, onEnd })
      count(startsByCall, envelope.callId)
      if (envelope.claimKey !== undefined) count(startsByKey, envelope.claimKey)
      time.after(time.nowMs() < coldUntilMs ? workMs * COLD_SLOWDOWN : workMs, () => { end(envelope.attemptId, 'whole') })
      return work
    },
    cancel: attemptId => { end(attemptId, 'cancelled') },
    crash: () => {
      restartCount++
      model = undefined
      for (const attemptId of [...running.keys()]) end(attemptId, 'failed')
    },
    turnCold: durationMs => { coldUntilMs = time.nowMs() + durationMs },
    load: next => { model = next },
    loadReport: () => ({
      incarnation: incarnation(),
      modelName: model?.name,
      modelVersion: model?.version,
      modelDigest: model?.digest,
      activeCount: running.size,
      queuedCount: 0,
      capacityCount: 8,
      cold: time.nowMs() < coldUntilMs
    }),
    activeCount: () => running.size,
    startsByCall,
    startsByKey
  }
}
