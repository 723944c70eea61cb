/**
 * One schema for each message, manifest and stored row; types are inferred from them.
 *
 * @packageDocumentation
 */
export * as Calls from './calls.ts'
export * as Control from './control.ts'
export * as Decode from './decode.ts'
export * as Explain from './explain.ts'
export * as LogLines from './logLines.ts'
export * as Manifest from './manifest.ts'
export * as Membership from './membership.ts'
export * as Platform from './platform.ts'
export * as Weights from './weights.ts'
