/**
 * What reads and writes the sockets of callers and endpoints.
 *
 * @packageDocumentation
 */
export type * as Dialect from './dialect.ts'
export * as Events from './events.ts'
export * as Gateway from './gateway.ts'
export * as Ingress from './ingress.ts'
export * as Upstream from './upstream.ts'
