/**
 * Agent of one endpoint: admits calls, distributes weights and sends placement orders.
 *
 * @packageDocumentation
 */
export * as App from './app.ts'
export * as Explain from './explain.ts'
export * as Messages from './messages.ts'
export * as Settings from './settings.ts'
export * as Systems from './systems/index.ts'
export * as Tables from './tables.ts'
