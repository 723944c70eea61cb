/**
 * The agent beside an endpoint: admits its work, holds its weights, gives its orders.
 *
 * @packageDocumentation
 */
export * as App from './app.ts'
export * as Explain from './explain.ts'
export * as Messages from './messages.ts'
export * as Settings from './settings.ts'
export * as Systems from './systems/index.ts'
export * as Tables from './tables.ts'
