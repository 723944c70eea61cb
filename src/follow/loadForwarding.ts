/**
 * Chooses which gateway passes the loads of a zone's endpoints on to a gateway of another zone.
 *
 * If every agent told every gateway its load several times a second, messages would grow with the product
 * of their numbers, and a gateway would spend its time on reports of endpoints that it seldom uses. So
 * agents report to the gateways of their zone, and these pass the reports on, all of a zone in one message.
 * Two gateways of the zone take turns for each receiver, so that the loss of one only doubles the interval.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Members from './members.ts'

/** What is needed to know of a process. */
type Process = Pick<Members.Member, 'name' | 'kind' | 'zone'>

/** Interval at which a gateway gets the loads of another zone, in milliseconds; it sends calls there only when its own zone is full. */
const INTERVAL_MS = 300
/** Number of gateways of a zone that take turns for a receiver. */
const FORWARDER_COUNT = 2
/** Minimum number of gateways of a zone with which loads are passed on; agents of smaller zones report to all gateways. */
const ZONE_GATEWAY_MIN_COUNT = 3

/** Receivers in other zones, by name, with the gateways of the own zone that take turns for each. */
export type Forwarders = ReadonlyMap<string, readonly string[]>

/**
 * Tells whether the gateways of a zone pass on the loads of its endpoints.
 *
 * @param zone - The zone.
 * @param members - The processes of the system.
 * @returns Whether they do; otherwise agents report to the gateways of all zones.
 */
export function isForwarded (zone: string, members: readonly Process[]): boolean {
  return members.filter(member => member.kind === 'gateway' && member.zone === zone).length >= ZONE_GATEWAY_MIN_COUNT
}

/**
 * Chooses the forwarders for each gateway of another zone.
 *
 * @param zone - The own zone.
 * @param members - The processes of the system, this one included.
 * @returns The forwarders; empty if the zone's loads are not passed on.
 */
export function forwardersOf (zone: string, members: readonly Process[]): Forwarders {
  if (!isForwarded(zone, members)) return new Map()
  const gateways = members.filter(member => member.kind === 'gateway')
  const ownNames = gateways.filter(member => member.zone === zone).map(member => member.name)
  return new Map(gateways.filter(member => member.zone !== zone).map(({ name }) => [name, Core.Hash.rendezvous(`loads for ${name}`, ownNames).slice(0, FORWARDER_COUNT)]))
}

/**
 * Returns the turn at a time.
 *
 * @param storeMs - The store's time, in milliseconds, which is the same for all gateways.
 * @returns The number of the turn.
 */
export function turnAt (storeMs: number): number {
  return Math.floor(storeMs / INTERVAL_MS)
}

/**
 * Returns the receivers to which a gateway passes loads on in a turn.
 *
 * @param forwarders - The forwarders for each receiver.
 * @param own - The name of the gateway.
 * @param turn - The number of the turn.
 * @returns The names of the receivers.
 */
export function receiversIn (forwarders: Forwarders, own: string, turn: number): ReadonlySet<string> {
  return new Set([...forwarders].flatMap(([receiver, names]) => names[turn % FORWARDER_COUNT] === own ? [receiver] : []))
}

/** Time for which a report is passed on, in milliseconds: one turn of each of the forwarders. */
export const REPORT_LIFETIME_MS = FORWARDER_COUNT * INTERVAL_MS
