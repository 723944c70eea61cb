/**
 * The library behind the daemons.
 *
 * @packageDocumentation
 */
export * as Agent from './agent/index.ts'
export * as Control from './control/index.ts'
export * as Core from './core/index.ts'
export * as Edge from './edge/index.ts'
export * as Gateway from './gateway/index.ts'
export * as Platform from './platform/index.ts'
export * as Schema from './schema/index.ts'
