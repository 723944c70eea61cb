/**
 * Distribution of model weights to engines: agents fetch chunks, verify them, stage them at their engine and have it load them.
 *
 * @packageDocumentation
 */
export * as Agent from './agent.ts'
export * as Choosing from './choosing.ts'
export * as ChunkCache from './chunkCache.ts'
export * as Exchange from './exchange.ts'
export * as Fetcher from './fetcher.ts'
export * as Filler from './filler.ts'
export * as LoadProof from './loadProof.ts'
export * as Manifests from './manifests.ts'
export type * as Ports from './ports.ts'
export * as Sources from './sources.ts'
export * as Staging from './staging.ts'
export * as Switching from './switching.ts'
