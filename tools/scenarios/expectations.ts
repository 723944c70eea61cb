/**
 * Compares a measure with what a scenario expects.
 *
 * @packageDocumentation
 */
import type * as Statements from './statements.ts'

type Expect = Extract<Statements.Statement, { kind: 'expect' }>

const COMPARISONS: Readonly<Record<Statements.Comparison, { readonly text: string, readonly holds: (value: number, wanted: number) => boolean }>> = {
  is: { text: 'is', holds: (value, wanted) => value === wanted },
  atLeast: { text: 'at least', holds: (value, wanted) => value >= wanted },
  atMost: { text: 'at most', holds: (value, wanted) => value <= wanted }
}

/**
 * Tells whether an expectation holds.
 *
 * @param statement - The expectation.
 * @param value - What was measured.
 * @returns Whether it holds.
 */
export function holds (statement: Expect, value: number): boolean {
  return COMPARISONS[statement.comparison].holds(value, statement.value)
}

/**
 * Says what was expected and what was found.
 *
 * @param statement - The expectation.
 * @param value - What was measured.
 * @returns The sentence.
 */
export function describe (statement: Expect, value: number): string {
  const of = statement.of === undefined ? '' : ` of ${statement.of}`
  return `expected ${statement.measure}${of} ${COMPARISONS[statement.comparison].text} ${statement.value}, was ${value}`
}
