/**
 * How weights get into the engines: spread between agents, verified, staged and started in turn.
 *
 * @packageDocumentation
 */
export * as Agent from './agent.ts'
export * as Choosing from './choosing.ts'
export * as Exchange from './exchange.ts'
export * as Fetcher from './fetcher.ts'
export * as Filler from './filler.ts'
export * as Library from './chunkCache.ts'
export type * as Ports from './ports.ts'
export * as Sources from './sources.ts'
export * as Switching from './switching.ts'
