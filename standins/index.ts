/**
 * Small stand-ins of the platform and of the served systems, for tests, benches and the demo.
 *
 * @packageDocumentation
 */
export * as Engine from './engine.ts'
export * as Faults from './faults.ts'
export * as InstanceList from './instanceList.ts'
export * as Link from './link.ts'
export * as ObjectStore from './objectStore.ts'
export * as PassThrough from './passThrough.ts'
export * as PeerLink from './peerLink.ts'
export * as PlainService from './plainService.ts'
export * as TableService from './tableService.ts'
export * as WeightSource from './weightSource.ts'
