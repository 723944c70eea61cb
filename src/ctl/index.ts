/**
 * The operators' command line.
 *
 * @packageDocumentation
 */
export * as Commands from './commands.ts'
