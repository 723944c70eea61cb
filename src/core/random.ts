/**
 * Seeded random number generator for decision code.
 *
 * @packageDocumentation
 */
import * as PureRandom from 'pure-rand'

/** Random number generator. */
export interface Random {
  /** Returns a number in [0, 1). */
  next: () => number
  /** Returns a whole number in [0, limit). */
  below: (limit: number) => number
}

const SCALE = 2 ** 32

/**
 * Creates a generator whose sequence depends on the seed alone.
 *
 * @param seed - A 32-bit whole number.
 * @returns The generator.
 */
export function createRandom (seed: number): Random {
  const generator = PureRandom.xoroshiro128plus(seed)
  const next = (): number => (generator.unsafeNext() >>> 0) / SCALE
  return { next, below: limit => Math.floor(next() * limit) }
}

/**
 * Returns a random delay, distributed uniformly from 0.5 to 1.5 times the mean.
 *
 * @param random - Random number generator.
 * @param delayMs - The mean delay in milliseconds.
 * @returns The delay in milliseconds.
 */
export function jitter (random: Random, delayMs: number): number {
  return delayMs * (0.5 + random.next())
}
