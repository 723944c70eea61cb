/**
 * How long a batching engine takes until an answer begins.
 *
 * Answers bursts of long prompts: what a call waits for is the prompt tokens ahead of it, not the
 * number of calls, and a full batch adds the time until one of its calls ends.
 *
 * @packageDocumentation
 */
import type * as Deployment from './deployment.ts'

/** What an engine has to do. */
export interface EngineWork {
  /** Calls that run or wait. */
  readonly busyCount: number
  /** Calls that have to end before this one gets a place, itself included. */
  readonly waitingCount: number
  /** Prompt tokens that are to be read before the call's own. */
  readonly tokensAheadCount: number
  /** How many times slower than usual the engine is. */
  readonly pace: number
}

const TOKENS_PER_THOUSAND = 1_000
const PAIRS_PER_MILLION = 1_000_000

/**
 * Works out the time of one pass over the writing calls.
 *
 * @param engine - The engine.
 * @param writingCount - Calls that write.
 * @returns The time in milliseconds.
 */
export function passMs (engine: Deployment.Engine, writingCount: number): number {
  const contextThousands = writingCount * (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / TOKENS_PER_THOUSAND
  return engine.passStepCount * (engine.stepMs + engine.stepMsPerCall * writingCount + engine.stepMsPerThousandTokens * contextThousands)
}

/**
 * Predicts the time until a call's first token.
 *
 * @param engine - The engine.
 * @param work - What it has to do.
 * @param promptTokens - Tokens of the call's prompt.
 * @returns The time in milliseconds.
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
 * Works out how often a full batch ends a call.
 *
 * @param engine - The engine.
 * @returns The mean time between two ends in milliseconds.
 */
export function turnoverMs (engine: Deployment.Engine): number {
  const passCount = engine.usualAnswerTokens / engine.passStepCount
  const writeMs = passCount * passMs(engine, engine.slotCount) / engine.slotCount
  return writeMs + engine.usualPromptTokens / engine.readTokensPerMs
}
