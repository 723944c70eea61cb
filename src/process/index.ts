/**
 * What a daemon is made of before its own work: settings, keys, log, metrics, time and randomness.
 *
 * @packageDocumentation
 */
export * as Runtime from './runtime.ts'
export * as Settings from './settings.ts'
