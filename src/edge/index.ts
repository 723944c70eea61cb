/**
 * Edges shared by the daemons: HTTP, procedures, logs, metrics, settings and shutdown.
 *
 * @packageDocumentation
 */
export * as Auth from './auth.ts'
export * as ByteCollector from './byteCollector.ts'
export * as ClientConnections from './clientConnections.ts'
export * as ClientMemory from './clientMemory.ts'
export * as ConnectionResets from './connectionResets.ts'
export * as Faults from './faults.ts'
export * as HttpClient from './httpClient.ts'
export * as HttpServer from './httpServer.ts'
export * as Keys from './keys.ts'
export * as Launch from './launch.ts'
export * as Listening from './listening.ts'
export * as Log from './log.ts'
export * as MessageHeads from './messageHeads.ts'
export * as Metrics from './metrics.ts'
export * as RequestBodies from './requestBodies.ts'
export * as Rpc from './rpc.ts'
export * as Settings from './settings.ts'
export * as Traffic from './traffic.ts'
export * as Violations from './violations.ts'
