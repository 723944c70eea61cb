/**
 * Building blocks shared by all parts: tables, the tick loop, result codes, deadlines, hashes and random numbers.
 *
 * @packageDocumentation
 */
export * as Codes from './codes.ts'
export * as Deadlines from './deadlines.ts'
export * as Groups from './groups.ts'
export * as Hash from './hash.ts'
export * as Invariants from './invariants.ts'
export * as Loop from './loop.ts'
export * as Memo from './memo.ts'
export * as Random from './random.ts'
export * as Table from './table.ts'
