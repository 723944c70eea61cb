/**
 * Follows the platform's tables and the other processes of the system.
 *
 * @packageDocumentation
 */
export * as Follower from './follower.ts'
export * as HeldReads from './heldReads.ts'
export * as LoadForwarding from './loadForwarding.ts'
export * as Members from './members.ts'
export * as Node from './node.ts'
export * as News from './news.ts'
export * as Operators from './operators.ts'
export * as Positions from './positions.ts'
export * as Readings from './readings.ts'
export * as Relay from './relay.ts'
export * as Restores from './restores.ts'
export * as Rows from './rows.ts'
export * as Shared from './shared.ts'
export * as StoreClock from './storeClock.ts'
