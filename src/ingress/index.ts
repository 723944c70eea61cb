/**
 * Accepts calls from callers, forwards them to endpoints and passes the answers back.
 *
 * @packageDocumentation
 */
export type * as Dialect from './dialect.ts'
export * as Events from './events.ts'
export * as Gateway from './gateway.ts'
export * as Ingress from './ingress.ts'
export * as Upstream from './upstream.ts'
