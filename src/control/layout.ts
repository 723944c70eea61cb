/**
 * Determines which processes poll the store and which processes notify each other of new documents.
 * Every process computes the same layout from the same members.
 *
 * Each availability zone has two notification trees over its processes, ordered by rendezvous hashing,
 * so that the failure of a process in one tree leaves the path through the other. The roots notify the
 * roots of the region's other zones; in each region the roots of one zone notify the other regions.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'

/** The properties of a process that the layout depends on. */
export interface LayoutMember {
  readonly instanceId: string
  readonly kind: 'gateway' | 'agent'
  readonly zone: string
  readonly region: string
}

/** Where a new document came from. */
export type Origin = 'store' | 'operator' | 'peer'

/** The layout of one set of processes. */
export interface Layout {
  /** Returns the processes of a zone that poll the store. */
  watchersOf: (zone: string) => readonly string[]
  /** Returns the processes that a process notifies of a new document. */
  targetsOf: (instanceId: string, origin: Origin) => readonly string[]
}

/** Number of processes in each zone that poll the store. */
export const WATCHER_COUNT = 3
/** Number of processes that each process notifies in each tree of its zone. */
export const FAN_OUT_COUNT = 4
const TREE_NAMES = ['a', 'b'] as const
const KIND_ORDER = ['agent', 'gateway'] as const

interface Tree {
  /** The processes of each zone in tree order, the root first; the children of index i start at `FAN_OUT_COUNT` * i + 1. */
  readonly zones: ReadonlyMap<string, readonly string[]>
  /** The index of each process in the order of its zone. */
  readonly positions: ReadonlyMap<string, number>
}

/**
 * Computes the layout.
 *
 * @param members - Every process that takes part, this one included.
 * @returns The layout.
 */
export function createLayout (members: readonly LayoutMember[]): Layout {
  const memberById = new Map(members.map(member => [member.instanceId, member]))
  const regionOf = new Map(members.map(member => [member.zone, member.region]))
  const trees = TREE_NAMES.map(name => createTree(name, members))
  const rootOf = (tree: Tree, zone: string): string | undefined => tree.zones.get(zone)?.[0]
  const zonesOf = (region: string): string[] => Core.Hash.rendezvous(region, [...regionOf].filter(([, zoneRegion]) => zoneRegion === region).map(([zone]) => zone))
  const regions = [...new Set(regionOf.values())]
  const regionZones = new Map(regions.map(region => [region, zonesOf(region)]))

  const childrenOf = (tree: Tree, member: LayoutMember): string[] => {
    const firstChildIndex = FAN_OUT_COUNT * (tree.positions.get(member.instanceId) ?? 0) + 1
    return tree.zones.get(member.zone)?.slice(firstChildIndex, firstChildIndex + FAN_OUT_COUNT) ?? []
  }
  const rootsNotifiedBy = (tree: Tree, member: LayoutMember): Array<string | undefined> => {
    if (rootOf(tree, member.zone) !== member.instanceId) return []
    const zones = regionZones.get(member.region) ?? []
    const otherZones = zones.filter(zone => zone !== member.zone)
    const otherRegions = zones[0] === member.zone ? regions.filter(region => region !== member.region) : []
    const otherRegionZones = otherRegions.flatMap(region => regionZones.get(region)?.[0] ?? [])
    return [...otherZones, ...otherRegionZones].map(zone => rootOf(tree, zone))
  }
  return {
    watchersOf: zone => trees[0]?.zones.get(zone)?.slice(0, WATCHER_COUNT) ?? [],
    targetsOf: (instanceId, origin) => {
      const member = memberById.get(instanceId)
      if (member === undefined) return []
      const targets = trees.flatMap(tree => [
        ...(origin === 'peer' ? [] : [rootOf(tree, member.zone)]),
        ...rootsNotifiedBy(tree, member),
        ...childrenOf(tree, member)
      ])
      return [...new Set(targets)].filter((target): target is string => target !== undefined && target !== instanceId)
    }
  }
}

function createTree (name: string, members: readonly LayoutMember[]): Tree {
  const zones = new Map([...new Set(members.map(member => member.zone))].map(zone => [zone, orderOf(`${name}\n${zone}`, members.filter(member => member.zone === zone))]))
  const positions = new Map([...zones.values()].flatMap(ids => ids.map((id, index): [string, number] => [id, index])))
  return { zones, positions }
}

/** Orders agents before gateways, because gateways also carry the callers' traffic while agents have network and memory to spare. */
function orderOf (subject: string, members: readonly LayoutMember[]): string[] {
  return KIND_ORDER.flatMap(kind => Core.Hash.rendezvous(subject, members.filter(member => member.kind === kind).map(member => member.instanceId)))
}
