/**
 * Inputs and commands of the control systems.
 *
 * @packageDocumentation
 */
import type * as Schemas from '../schema/index.ts'
import type * as Layout from './layout.ts'

/** An event since the last tick. */
export type Input =
  | { readonly kind: 'announced', readonly place: Schemas.Platform.Instance }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'listRead', readonly instances: readonly Schemas.Platform.Instance[], readonly sizeBytes: number }
  | { readonly kind: 'listFailed' }
  | { readonly kind: 'storeRead', readonly versions: Schemas.Control.Versions }
  | { readonly kind: 'storeFailed' }
  | { readonly kind: 'gossipHeard', readonly gossip: Schemas.Membership.Gossip }
  | { readonly kind: 'gossipEnded', readonly memberId: string, readonly purpose: Purpose, readonly answered: boolean }
  | { readonly kind: 'relayEnded', readonly memberId: string, readonly relayAnswered: boolean, readonly targetAnswered: boolean }
  | { readonly kind: 'adopted', readonly document: Schemas.Control.Document, readonly origin: Layout.Origin }
  | { readonly kind: 'pullEnded', readonly memberId: string }

/** The purpose of a gossip message: to probe a member, to notify it of a change, or to ask for its versions. */
export type Purpose = 'probe' | 'notify' | 'ask'

/** An action that the node carries out after the tick, usually a request. */
export type Command =
  | { readonly kind: 'gossip', readonly memberId: string, readonly target: Schemas.Platform.Instance, readonly purpose: Purpose, readonly message: Schemas.Membership.Gossip }
  | { readonly kind: 'relay', readonly memberId: string, readonly via: Schemas.Platform.Instance, readonly target: Schemas.Platform.Instance, readonly message: Schemas.Membership.Gossip }
  | { readonly kind: 'pull', readonly memberId: string, readonly target: Schemas.Platform.Instance, readonly versions: Schemas.Control.Versions }
  | { readonly kind: 'readStore' }
  | { readonly kind: 'readList' }
  | { readonly kind: 'tellInstances' }
