/**
 * Model of a batching engine that predicts the time to the first token of an answer.
 *
 * In bursts of long prompts, the wait of a call depends on the number of prompt tokens ahead of it, not
 * on the number of calls. A full batch adds the time until one of its calls ends.
 *
 * @packageDocumentation
 */
import type * as Deployment from './deployment.ts'

/** The work of an engine when a call arrives. */
export interface EngineWork {
  /** Number of calls that run or wait. */
  readonly busyCount: number
  /** Number of slots that have to become free before the call gets one; 0 if a slot is free. */
  readonly waitingCount: number
  /** Number of prompt tokens that are read before those of the call. */
  readonly tokensAheadCount: number
  /** Factor by which the engine is slower than usual. */
  readonly pace: number
}

const TOKENS_PER_THOUSAND = 1_000
const PAIRS_PER_MILLION = 1_000_000

/**
 * Calculates the time of one pass over the calls that are writing their answers.
 *
 * @param engine - The parameters of the engine.
 * @param writingCount - Number of calls that are writing.
 * @returns The time, in milliseconds.
 */
export function passMs (engine: Deployment.Engine, writingCount: number): number {
  const contextThousands = writingCount * (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / TOKENS_PER_THOUSAND
  return engine.passStepCount * (engine.stepMs + engine.stepMsPerCall * writingCount + engine.stepMsPerThousandTokens * contextThousands)
}

/**
 * Predicts the time to the first token of a call.
 *
 * @param engine - The parameters of the engine.
 * @param work - The work of the engine when the call arrives.
 * @param promptTokens - Number of tokens of the call's prompt.
 * @returns The time, in milliseconds.
 */
export function firstTokenMs (engine: Deployment.Engine, work: EngineWork, promptTokens: number): number {
  const writingCount = Math.min(engine.slotCount, work.busyCount)
  const tokens = work.tokensAheadCount + promptTokens
  const readMs = tokens / engine.readTokensPerMs + engine.pairMsPerMillion * promptTokens * promptTokens / 2 / PAIRS_PER_MILLION
  const pass = writingCount === 0 ? engine.stepMs : passMs(engine, writingCount)
  const passCount = Math.ceil(tokens / engine.readLimitTokens)
  return work.pace * (readMs + pass / 2 + passCount * (writingCount === 0 ? engine.stepMs : pass) + work.waitingCount * turnoverMs(engine))
}

/**
 * Calculates the mean interval at which calls of a full batch end.
 *
 * @param engine - The parameters of the engine.
 * @returns The mean interval, in milliseconds.
 */
export function turnoverMs (engine: Deployment.Engine): number {
  const passCount = engine.usualAnswerTokens / engine.passStepCount
  const writeMs = passCount * passMs(engine, engine.slotCount) / engine.slotCount
  return writeMs + engine.usualPromptTokens / engine.readTokensPerMs
}
