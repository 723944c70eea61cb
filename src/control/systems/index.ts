/**
 * The systems of control in the order in which they run.
 *
 * @packageDocumentation
 */
import type * as Tables from '../tables.ts'
import * as Learning from './learning.ts'
import * as Membership from './membership.ts'
import * as Polls from './polls.ts'
import * as Probes from './probes.ts'
import * as Spread from './spread.ts'

/** Membership runs first, since the other systems depend on the members. */
export const SYSTEMS: readonly Tables.System[] = [
  Membership.membershipSystem,
  Probes.probesSystem,
  Spread.spreadSystem,
  Polls.pollsSystem,
  Learning.learningSystem
]
