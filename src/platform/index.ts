/**
 * Clients of the platform: table service, object store, weight sources and instance list.
 *
 * @packageDocumentation
 */
export * as Budget from './budget.ts'
export * as InstanceClient from './instanceClient.ts'
export * as ObjectClient from './objectClient.ts'
export * as TableClient from './tableClient.ts'
export * as WeightClient from './weightClient.ts'
