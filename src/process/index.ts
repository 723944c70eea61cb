/**
 * Infrastructure that all daemons share: settings, keys, log, metrics, clock and random numbers.
 *
 * @packageDocumentation
 */
export * as Runtime from './runtime.ts'
export * as Settings from './settings.ts'
