/**
 * Routing decisions: pure modules without I/O, clocks or randomness of their own.
 *
 * @packageDocumentation
 */
export * as Abandoned from './abandoned.ts'
export * as Admission from './admission.ts'
export * as Ages from './ages.ts'
export * as Budgets from './budgets.ts'
export * as Choice from './choice.ts'
export * as CrashingParts from './crashingParts.ts'
export * as Crowding from './crowding.ts'
export * as Demand from './demand.ts'
export * as Deployment from './deployment.ts'
export * as Endpoints from './endpoints.ts'
export * as EngineModel from './engineModel.ts'
export * as Evidence from './evidence.ts'
export * as Limits from './limits.ts'
export * as Notices from './notices.ts'
export * as Refusals from './refusals.ts'
export * as Retries from './retries.ts'
export * as Silence from './silence.ts'
export * as Standstill from './standstill.ts'
export * as Suspects from './suspects.ts'
export * as Turns from './turns.ts'
export * as Versions from './versions.ts'
export * as Waiting from './waiting.ts'
