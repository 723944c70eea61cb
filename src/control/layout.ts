/**
 * Who watches the store and who tells whom: computed alike by every process from the members.
 *
 * Each availability zone has two trees over its processes, ordered by rendezvous hashing, so that
 * the loss of a process on one way leaves the other. Their roots tell the roots of the region's
 * other zones; one root in each region tells the other regions.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** What the layout needs to know of a process. */
export interface LayoutMember {
  readonly instanceId: string
  readonly kind: 'gateway' | 'agent'
  readonly zone: string
  readonly region: string
}

/** Where news came from. */
export type Origin = 'store' | 'operator' | 'peer'

/** The layout of one set of processes. */
export interface Layout {
  /** The processes of a zone that poll the store. */
  watchersOf: (zone: string) => readonly string[]
  /** Whom a process tells about news. */
  targetsOf: (instanceId: string, origin: Origin) => readonly string[]
}

/** Processes that poll the store in each zone. */
export const WATCHER_COUNT = 3
/** Processes that each one tells in each tree of its zone. */
export const FAN_OUT_COUNT = 4
const TREE_NAMES = ['a', 'b'] as const
const KIND_ORDER = ['agent', 'gateway'] as const

interface Tree {
  /** The processes of each zone in the order of the tree; the first is its root. */
  readonly zones: ReadonlyMap<string, readonly string[]>
  /** The position of each process in its zone. */
  readonly positions: ReadonlyMap<string, number>
}

/**
 * Computes the layout.
 *
 * @param places - Every process that takes part.
 * @returns The layout.
 */
export function createLayout (places: readonly LayoutMember[]): Layout {
  const byId = new Map(places.map(place => [place.instanceId, place]))
  const regionOf = new Map(places.map(place => [place.zone, place.region]))
  const trees = TREE_NAMES.map(name => createTree(name, places))
  const rootOf = (tree: Tree, zone: string): string | undefined => tree.zones.get(zone)?.[0]
  const zonesOf = (region: string): string[] => Core.Hash.rendezvous(region, [...regionOf].filter(([, found]) => found === region).map(([zone]) => zone))
  const regions = [...new Set(regionOf.values())]
  const regionZones = new Map(regions.map(region => [region, zonesOf(region)]))

  const childrenOf = (tree: Tree, place: LayoutMember): string[] => {
    const first = FAN_OUT_COUNT * (tree.positions.get(place.instanceId) ?? 0) + 1
    return tree.zones.get(place.zone)?.slice(first, first + FAN_OUT_COUNT) ?? []
  }
  const rootsNotifiedBy = (tree: Tree, place: LayoutMember): Array<string | undefined> => {
    if (rootOf(tree, place.zone) !== place.instanceId) return []
    const zones = regionZones.get(place.region) ?? []
    const otherZones = zones.filter(zone => zone !== place.zone)
    const otherRegions = zones[0] === place.zone ? regions.filter(region => region !== place.region) : []
    const otherRegionZones = otherRegions.flatMap(region => regionZones.get(region)?.[0] ?? [])
    return [...otherZones, ...otherRegionZones].map(zone => rootOf(tree, zone))
  }
  return {
    watchersOf: zone => trees[0]?.zones.get(zone)?.slice(0, WATCHER_COUNT) ?? [],
    targetsOf: (instanceId, origin) => {
      const place = byId.get(instanceId)
      if (place === undefined) return []
      const targets = trees.flatMap(tree => [
        ...(origin === 'peer' ? [] : [rootOf(tree, place.zone)]),
        ...rootsNotifiedBy(tree, place),
        ...childrenOf(tree, place)
      ])
      return [...new Set(targets)].filter((target): target is string => target !== undefined && target !== instanceId)
    }
  }
}

function createTree (name: string, places: readonly LayoutMember[]): Tree {
  const zones = new Map([...new Set(places.map(place => place.zone))].map(zone => [zone, orderOf(`${name}\n${zone}`, places.filter(place => place.zone === zone))]))
  const positions = new Map([...zones.values()].flatMap(ids => ids.map((id, index): [string, number] => [id, index])))
  return { zones, positions }
}

/** Gateways come last: they carry callers' traffic beside control, and agents have bytes and memory to spare. */
function orderOf (subject: string, places: readonly LayoutMember[]): string[] {
  return KIND_ORDER.flatMap(kind => Core.Hash.rendezvous(subject, places.filter(place => place.kind === kind).map(place => place.instanceId)))
}
