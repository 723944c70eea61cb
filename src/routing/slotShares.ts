/**
 * Divides the free slots of endpoints among gateways in proportion to their demand.
 *
 * Answers uneven demand at more gateways than an endpoint has slots: an even division leaves each gateway a
 * fraction of a slot, so that gateways with little demand leave theirs unused while busy ones refuse calls.
 * Every gateway computes the same shares from what the gateways report of their demand anyway. The shares in
 * the slots of one zone add up to one, so that a report of free slots is never claimed twice.
 *
 * @packageDocumentation
 */

/** A gateway's demand. */
export interface GatewayDemand {
  readonly zone: string
  /** Calls per second; undefined until the gateway has reported it. */
  readonly callsPerSecond: number | undefined
}

/** What the shares are computed from. */
export interface SharingInput {
  readonly own: GatewayDemand
  readonly others: readonly GatewayDemand[]
  /** Number of slots of usable endpoints in each zone. */
  readonly slotCountByZone: ReadonlyMap<string, number>
}

/** This gateway's share of the free slots, by zone of the endpoint. */
export type SlotShares = ReadonlyMap<string, number>

/** Minimum claim of a gateway on slots of other zones, relative to one on those of its own zone: its zone may lose endpoints before it has noticed. */
const MIN_OVERFLOW = 0.1
/** Bounds of a gateway's demand relative to the mean: a gateway whose demand grows is not left without slots, and a wrong report cannot take those of all others. */
const MIN_RELATIVE_DEMAND = 0.25
const MAX_RELATIVE_DEMAND = 4

/**
 * Tells whether shares follow demand.
 *
 * @param gatewayCount - Number of gateways that share the endpoints.
 * @param slotCount - Number of slots of an endpoint.
 * @returns Whether an even division would leave less than one slot for each gateway.
 */
export function areByDemand (gatewayCount: number, slotCount: number): boolean {
  return gatewayCount > slotCount
}

/**
 * Computes the shares of one gateway.
 *
 * @param input - The gateways' demand and the usable slots.
 * @returns The shares, from 0 to 1.
 */
export function computeShares ({ own, others, slotCountByZone }: SharingInput): SlotShares {
  const gateways = [own, ...others]
  const known = gateways.flatMap(({ callsPerSecond }) => callsPerSecond ?? [])
  const meanPerSecond = known.length === 0 ? 1 : Math.max(1, known.reduce((sum, value) => sum + value, 0) / known.length)
  const demandOf = ({ callsPerSecond = meanPerSecond }: GatewayDemand): number =>
    Math.min(MAX_RELATIVE_DEMAND, Math.max(MIN_RELATIVE_DEMAND, callsPerSecond / meanPerSecond))
  const demandByZone = new Map<string, number>()
  for (const gateway of gateways) demandByZone.set(gateway.zone, (demandByZone.get(gateway.zone) ?? 0) + demandOf(gateway))
  const totalDemand = [...demandByZone.values()].reduce((sum, value) => sum + value, 0)
  const totalSlotCount = [...slotCountByZone.values()].reduce((sum, value) => sum + value, 0)
  /** Share of a zone's calls that its own slots cannot take when all slots are used alike. */
  const overflowOf = (zone: string): number => {
    const slotShare = totalSlotCount === 0 ? 1 : (slotCountByZone.get(zone) ?? 0) / totalSlotCount
    return Math.min(1, Math.max(MIN_OVERFLOW, 1 - slotShare * totalDemand / (demandByZone.get(zone) ?? 1)))
  }
  const claimOf = (gateway: GatewayDemand, zone: string): number => demandOf(gateway) * (gateway.zone === zone ? 1 : overflowOf(gateway.zone))
  return new Map([...slotCountByZone.keys()].map(zone =>
    [zone, claimOf(own, zone) / gateways.reduce((sum, gateway) => sum + claimOf(gateway, zone), 0)]))
}
