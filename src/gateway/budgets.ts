/**
 * Retry budgets: a token bucket for each workspace and one for the gateway.
 *
 * Calls pay in, retries and hedges take out, so that repeats stay a small share of the calls however
 * many of them fail, and a workspace whose calls are refused cannot use up the others' budget.
 *
 * @packageDocumentation
 */

/** Budgets of a gateway. */
export interface Budgets {
  /** Pays in for a call of a workspace. */
  deposit: (workspace: string) => void
  /** Takes a token for a repeat out of the workspace's and the gateway's bucket, if both have one. */
  withdraw: (workspace: string, nowMs: number) => boolean
  /** Takes a token out of the gateway's bucket alone, for a repeat that no workspace is to blame for. */
  withdrawShared: (nowMs: number) => boolean
}

interface Bucket {
  tokenCount: number
  refilledAtMs: number
}

const RETRY_SHARE = 0.2
const MAX_WORKSPACE_TOKEN_COUNT = 20
const MAX_GATEWAY_TOKEN_COUNT = 100
/** Tokens that a bucket gets without calls. */
const REFILL_PER_SECOND = 1
const FIRST_TOKEN_COUNT = 5
const MAX_BUCKET_COUNT = 1_024

/**
 * Creates budgets with a few tokens each.
 *
 * @returns The budgets.
 */
export function createBudgets (): Budgets {
  const buckets = new Map<string, Bucket>()
  const gateway: Bucket = { tokenCount: MAX_GATEWAY_TOKEN_COUNT, refilledAtMs: 0 }
  const find = (workspace: string): Bucket => {
    const known = buckets.get(workspace)
    if (known !== undefined) return known
    if (buckets.size >= MAX_BUCKET_COUNT) buckets.clear()
    const bucket = { tokenCount: FIRST_TOKEN_COUNT, refilledAtMs: 0 }
    buckets.set(workspace, bucket)
    return bucket
  }
  return {
    deposit: workspace => {
      const bucket = find(workspace)
      bucket.tokenCount = Math.min(MAX_WORKSPACE_TOKEN_COUNT, bucket.tokenCount + RETRY_SHARE)
      gateway.tokenCount = Math.min(MAX_GATEWAY_TOKEN_COUNT, gateway.tokenCount + RETRY_SHARE)
    },
    withdraw: (workspace, nowMs) => {
      const bucket = find(workspace)
      refill(bucket, MAX_WORKSPACE_TOKEN_COUNT, nowMs)
      refill(gateway, MAX_GATEWAY_TOKEN_COUNT, nowMs)
      if (bucket.tokenCount < 1 || gateway.tokenCount < 1) return false
      bucket.tokenCount--
      gateway.tokenCount--
      return true
    },
    withdrawShared: nowMs => {
      refill(gateway, MAX_GATEWAY_TOKEN_COUNT, nowMs)
      if (gateway.tokenCount < 1) return false
      gateway.tokenCount--
      return true
    }
  }
}

function refill (bucket: Bucket, maxCount: number, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs)
  bucket.refilledAtMs = nowMs
  bucket.tokenCount = Math.min(maxCount, bucket.tokenCount + elapsedMs * REFILL_PER_SECOND / 1_000)
}
