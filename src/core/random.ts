/**
 * Seeded random numbers, handed to decision code.
 *
 * @packageDocumentation
 */
import * as PureRandom from 'pure-rand'

/** A source of random numbers. */
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
 * Spreads a delay evenly between half of it and one and a half times it.
 *
 * @param random - Source of randomness.
 * @param delayMs - The mean delay in milliseconds.
 * @returns The spread delay in milliseconds.
 */
export function jitter (random: Random, delayMs: number): number {
  return delayMs * (0.5 + random.next())
}
