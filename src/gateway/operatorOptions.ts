/**
 * What the procedures for operators need.
 *
 * @packageDocumentation
 */
import type * as Control from '../control/index.ts'
import type * as Edge from '../edge/index.ts'
import type * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'

/** What the procedures need. */
export interface OperatorOptions {
  readonly node: Control.Node.ControlNode
  readonly tables: Platform.TableClient.TableClient
  readonly report: () => Schemas.Control.GatewayReport
  readonly peerKey: () => string
  readonly log: Edge.Log.Log
}
