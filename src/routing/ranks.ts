/**
 * Ranks of calls: which calls go first while a service cannot serve all of them.
 *
 * Answers sustained overload by calls of different priority. Endpoints begin queued calls in the order of
 * their rank, so the wait of a call depends only on the calls of its own and of more urgent ranks: those
 * that are queued when it arrives, and those that overtake it while it waits. Gateways agree without a
 * message for each call, since the endpoint's queue is shared by all of them and each gateway predicts the
 * wait there from the same reports.
 *
 * @packageDocumentation
 */

/** Rank of a call among the calls of its service. */
export interface Rank {
  /** Position in the order of ranks; 0 is the most urgent. */
  readonly index: number
  /** Number of ranks that calls of the service may have. */
  readonly count: number
}

/** How the calls that one gateway sent are spread over the ranks of each service. */
export interface RankShares {
  /** Records that a call was sent to an endpoint. */
  recordSent: (service: string, rank: Rank) => void
  /** Records that an attempt no longer waits for its answer to begin: the answer has begun, or the attempt has ended. */
  recordSettled: (service: string, rank: Rank) => void
  /** Records that the answer to a call has begun. */
  recordBegun: (service: string, rank: Rank, nowMs: number) => void
  /** Returns the share of the sent calls that have not begun which would begin before a new call of a rank, between 0 and 1. */
  aheadShare: (service: string, rank: Rank) => number
  /** Returns the share of recently begun calls that were more urgent than a rank, between 0 and `MAX_OVERTAKING_SHARE`. */
  overtakingShare: (service: string, rank: Rank, nowMs: number) => number
}

interface ServiceCounts {
  readonly pendingCounts: number[]
  readonly begunWeights: number[]
  weighedAtMs: number
}

/** Time after which a begun call counts for 1/e, in milliseconds: some tens of calls of one gateway, and short against a burst. */
const DECAY_MS = 1_500
/** Maximum share of begun calls that is assumed to overtake a queued call; with a larger one, its wait cannot be predicted. */
const MAX_OVERTAKING_SHARE = 0.9
/** Lowest position in an endpoint's queue that can be stated. */
const LAST_QUEUE_POSITION = 9
/** Queue positions for each rank: calls that are on time, then late ones. */
const POSITIONS_PER_RANK = 2

/** The priorities that decide the rank of a call; 0 is the highest. */
export interface Priorities {
  /** Priority of the workspace, which goes before that of the route; that of the route if the workspace has none. */
  readonly workspacePriority: number
  readonly routePriority: number
}

/**
 * Puts the priorities that calls of a service may have in order.
 *
 * @param routePriorities - The priorities of the routes to the service.
 * @param workspacePriorities - The priorities of workspaces; undefined for one whose calls have that of their route.
 * @returns The ranks, the most urgent first; empty if the routes to the service all have the same priority, so that its calls have no ranks.
 */
export function orderOf (routePriorities: readonly number[], workspacePriorities: ReadonlyArray<number | undefined>): readonly Priorities[] {
  const routes = [...new Set(routePriorities)]
  if (routes.length < 2) return []
  const workspaces = [...new Set(workspacePriorities.flatMap(priority => priority ?? []))]
  const ofWorkspaces = workspaces.flatMap(workspacePriority => routes.map(routePriority => ({ workspacePriority, routePriority })))
  const hasOthers = workspacePriorities.length === 0 || workspacePriorities.includes(undefined)
  const ofRoutes = routes.filter(routePriority => hasOthers && !workspaces.includes(routePriority)).map(routePriority => ({ workspacePriority: routePriority, routePriority }))
  return [...ofWorkspaces, ...ofRoutes].sort((a, b) => a.workspacePriority - b.workspacePriority || a.routePriority - b.routePriority)
}

/**
 * Determines the rank of a call.
 *
 * @param order - The ranks of the call's service, from `orderOf`.
 * @param priorities - The priorities of the call.
 * @returns The rank; undefined if the calls of the service have no ranks.
 */
export function rankOf (order: readonly Priorities[], { workspacePriority, routePriority }: Priorities): Rank | undefined {
  if (order.length === 0) return undefined
  const index = order.findIndex(rank => rank.workspacePriority === workspacePriority && rank.routePriority === routePriority)
  return { index: index === -1 ? order.length - 1 : index, count: order.length }
}

/**
 * Determines where a call stands in the queue of its endpoint.
 *
 * @param rank - The rank of the call.
 * @param call - Whether the call continues a stream that has begun, and whether it is late.
 * @returns The position from 0 to 9; 0 goes first. Late calls stand behind those of their rank where there are positions enough.
 */
export function queuePositionOf ({ index, count }: Rank, call: { readonly resuming: boolean, readonly late: boolean }): number {
  if (call.resuming) return 0
  if (count * POSITIONS_PER_RANK > LAST_QUEUE_POSITION + 1) return Math.min(LAST_QUEUE_POSITION, index)
  return index * POSITIONS_PER_RANK + Number(call.late)
}

/**
 * Creates the shares of one gateway that has sent no calls.
 *
 * @returns The shares.
 */
export function createRankShares (): RankShares {
  const countsByService = new Map<string, ServiceCounts>()
  const countsOf = (service: string): ServiceCounts => {
    const counts = countsByService.get(service) ?? { pendingCounts: [], begunWeights: [], weighedAtMs: 0 }
    countsByService.set(service, counts)
    return counts
  }
  const addPending = (service: string, { index }: Rank, change: number): void => {
    const { pendingCounts } = countsOf(service)
    pendingCounts[index] = Math.max(0, (pendingCounts[index] ?? 0) + change)
  }
  const decay = (counts: ServiceCounts, nowMs: number): void => {
    const factor = Math.exp((counts.weighedAtMs - nowMs) / DECAY_MS)
    for (const [index, weight] of counts.begunWeights.entries()) counts.begunWeights[index] = (weight ?? 0) * factor
    counts.weighedAtMs = nowMs
  }
  return {
    recordSent: (service, rank) => { addPending(service, rank, 1) },
    recordSettled: (service, rank) => { addPending(service, rank, -1) },
    recordBegun: (service, { index }, nowMs) => {
      const counts = countsOf(service)
      decay(counts, nowMs)
      counts.begunWeights[index] = (counts.begunWeights[index] ?? 0) + 1
    },
    aheadShare: (service, { index }) => shareOf(countsOf(service).pendingCounts, index + 1, 1),
    overtakingShare: (service, { index }, nowMs) => {
      const counts = countsOf(service)
      decay(counts, nowMs)
      return Math.min(MAX_OVERTAKING_SHARE, shareOf(counts.begunWeights, index, 0))
    }
  }
}

/** Returns the share of the first ranks in a total; the given share if the total is zero. */
function shareOf (values: readonly number[], firstCount: number, emptyShare: number): number {
  const total = values.reduce((sum, value = 0) => sum + value, 0)
  return total === 0 ? emptyShare : values.slice(0, firstCount).reduce((sum, value = 0) => sum + value, 0) / total
}
