/**
 * Chooses the endpoints that a gateway may send calls to, so that there is no full mesh at scale.
 *
 * Within an availability zone each endpoint chooses its gateways by rendezvous hash, so that every
 * endpoint has equally many; beyond the zone each gateway chooses a few endpoints for spilling over.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** A process and its availability zone. */
export interface Place {
  readonly instanceId: string
  readonly zone: string
}

/** A service with no more endpoints than this has all of them in every subset. */
export const FULL_SUBSET_COUNT = 24
/** Gateways of the zone that may use an endpoint. */
const GATEWAYS_PER_ENDPOINT = 4
/** Endpoints beyond the zone that a gateway may use. */
const REMOTE_COUNT = 8

/**
 * Chooses the subset of one service.
 *
 * @param self - The gateway.
 * @param gateways - Every gateway, this one among them.
 * @param endpoints - The endpoints of the service that take new work.
 * @returns The identifiers of the endpoints in the subset.
 */
export function choose (self: Place, gateways: readonly Place[], endpoints: readonly Place[]): string[] {
  if (endpoints.length <= FULL_SUBSET_COUNT) return endpoints.map(endpoint => endpoint.instanceId)
  const rivals = gateways.filter(gateway => gateway.zone === self.zone && gateway.instanceId !== self.instanceId)
  const local = endpoints.filter(endpoint => endpoint.zone === self.zone && isChosen(self, rivals, endpoint))
  const remoteIds = endpoints.filter(endpoint => endpoint.zone !== self.zone).map(endpoint => endpoint.instanceId)
  const remoteCount = Math.max(REMOTE_COUNT, FULL_SUBSET_COUNT - local.length)
  return [...local.map(endpoint => endpoint.instanceId), ...Core.Hash.rendezvous(self.instanceId, remoteIds).slice(0, remoteCount)]
}

/** Whether the gateway is among the first for the endpoint. */
function isChosen (self: Place, rivals: readonly Place[], endpoint: Place): boolean {
  const rankOf = (gateway: Place): number => Core.Hash.rankOf(`${endpoint.instanceId}\n${gateway.instanceId}`)
  const own = rankOf(self)
  let aheadCount = 0
  for (const rival of rivals) {
    if (rankOf(rival) > own) aheadCount++
    if (aheadCount >= GATEWAYS_PER_ENDPOINT) return false
  }
  return true
}
