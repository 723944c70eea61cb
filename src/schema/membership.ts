/**
 * What the system's own processes say to one another about themselves and each other.
 *
 * @packageDocumentation
 */
import * as Schema from 'effect/Schema'
import * as Control from './control.ts'
import * as Platform from './platform.ts'

/** Set at each start of a process and raised by the process alone, to refute what is said of it. */
export const Incarnation = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }))

/** A claim about one process. */
export const Rumour = Schema.Struct({
  instanceId: Schema.String,
  incarnation: Incarnation,
  state: Schema.Literals(['alive', 'suspect', 'dead']),
  /** Who found that it does not answer. */
  accuserId: Schema.optional(Schema.String),
  /** Where it is reached; absent where the receiver must know it already. */
  place: Schema.optional(Platform.Instance)
})
/** A claim about one process. */
export type Rumour = typeof Rumour.Type
/** What is claimed about a process. */
export type MemberState = Rumour['state']

/** A message, and equally its answer: the sender, its versions and a few rumours. */
export const Gossip = Schema.Struct({
  sender: Rumour,
  /** Whether the sender has learnt the versions in force. */
  ready: Schema.Boolean,
  versions: Control.Versions,
  rumours: Schema.Array(Rumour)
})
/** A message, and equally its answer. */
export type Gossip = typeof Gossip.Type

/** Asks a process to probe another one. */
export const ProbeRequest = Schema.Struct({ gossip: Gossip, target: Platform.Instance })
/** Asks a process to probe another one. */
export type ProbeRequest = typeof ProbeRequest.Type

/** The target's answer, or nothing when it gave none. */
export const ProbeAnswer = Schema.Struct({ answer: Schema.optional(Gossip) })
/** The target's answer, or nothing when it gave none. */
export type ProbeAnswer = typeof ProbeAnswer.Type

/** A process as another one knows it, for operators. */
export interface MemberReport {
  readonly instanceId: string
  readonly kind: Platform.Instance['kind']
  readonly zone: string
  readonly state: MemberState
  readonly leaving: boolean
  readonly listed: boolean
  readonly incarnation: number
  /** Time since it last answered or asked, in milliseconds; absent when it never did. */
  readonly heardAgoMs?: number
  /** Its versions at that time. */
  readonly versions?: Control.Versions
}
