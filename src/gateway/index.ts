/**
 * The gateway between callers and agents.
 *
 * @packageDocumentation
 */
export * as App from './app.ts'
export * as Messages from './messages.ts'
export * as Operators from './operators.ts'
export * as Settings from './settings.ts'
export * as Systems from './systems/index.ts'
export * as Tables from './tables.ts'
