/**
 * The statements of the scenario language.
 *
 * @packageDocumentation
 */

/** Where a statement stands. */
interface Placed {
  readonly line: number
}

/** A setting of a deployment. */
export interface Setting {
  readonly name: string
  readonly value: number
}

/** How an expectation compares. */
export type Comparison = 'is' | 'atLeast' | 'atMost'

/** One line of a scenario. */
export type Statement = Placed & (
  | { readonly kind: 'givenFakes', readonly world: string, readonly seed: number }
  | { readonly kind: 'givenDeployment', readonly shape: string, readonly settings: readonly Setting[] }
  | { readonly kind: 'commit', readonly version: string, readonly operatorCount: number }
  | { readonly kind: 'traffic', readonly name: string, readonly workspace: string, readonly method: string, readonly path: string, readonly ratePerSecond: number, readonly durationMs: number, readonly options: readonly string[] }
  | { readonly kind: 'fault', readonly words: readonly string[], readonly amount: number | undefined, readonly durationMs: number | undefined }
  | { readonly kind: 'heal', readonly words: readonly string[] }
  | { readonly kind: 'operator', readonly words: readonly string[] }
  | { readonly kind: 'do', readonly action: string, readonly amount: number }
  | { readonly kind: 'mark' }
  | { readonly kind: 'wait', readonly durationMs: number }
  | { readonly kind: 'waitVersion', readonly version: string, readonly limitMs: number }
  | { readonly kind: 'waitTraffic', readonly name: string | undefined }
  | { readonly kind: 'expect', readonly measure: string, readonly of: string | undefined, readonly comparison: Comparison, readonly value: number, readonly limitMs: number | undefined }
)

/** The kind of a statement. */
export type StatementKind = Statement['kind']

/** Something wrong with a scenario's text. */
export interface Problem {
  readonly line: number
  readonly column: number
  readonly message: string
}
