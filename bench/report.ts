/**
 * What a bench gives.
 *
 * @packageDocumentation
 */

/** Figures by name; each name carries its unit. */
export type Figures = Readonly<Record<string, unknown>>

/** A bench: says what it compares with, its seed and the stated target. */
export interface Bench {
  /** Runs the bench with the command line's further arguments. */
  run: (args: readonly string[]) => Promise<Figures>
}
