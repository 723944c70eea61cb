/**
 * Launches deployments of real processes on loopback, for tests, benches, scenarios and the demo.
 *
 * @packageDocumentation
 */
export * as Agents from './agents.ts'
export * as Caller from './caller.ts'
export * as ControlGroup from './controlGroup.ts'
export * as Cpu from './cpu.ts'
export * as Deployment from './deployment.ts'
export * as Gateways from './gateways.ts'
export * as Load from './load.ts'
export * as Manifests from './manifests.ts'
export * as Metrics from './metrics.ts'
export * as Processes from './processes.ts'
export * as Shapes from './shapes.ts'
export * as SilentProxy from './silentProxy.ts'
export * as SlowProxy from './slowProxy.ts'
export * as Tables from './tables.ts'
export * as Wait from './wait.ts'
