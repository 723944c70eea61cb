/**
 * Weight distribution: agents fetch chunks of model weights from sources and from each other, verify them and deliver
 * them to their endpoints.
 *
 * @packageDocumentation
 */
export * as Bitmap from './bitmap.ts'
export * as Faults from './faults.ts'
export * as Messages from './messages.ts'
export * as Pace from './pace.ts'
export * as Pacer from './edge/pacer.ts'
export * as Seeding from './seeding.ts'
export * as Swarm from './edge/swarm.ts'
export * as Systems from './systems/index.ts'
export * as Tables from './tables.ts'
