/**
 * Chunks of one version in the staging area of the agent's engine, and when each was last compared with its digest.
 *
 * A staged chunk can turn bad at any time, so a comparison holds only for the moment at which its read began.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as ChunkCache from './chunkCache.ts'
import type * as Ports from './ports.ts'

/** Options of a staging area. */
export interface StagingOptions {
  readonly engine: Pick<Ports.Engine, 'listStaged' | 'readStaged' | 'stage'>
  readonly cache: ChunkCache.ChunkCache
  readonly clock: () => number
  readonly log: Core.Loop.Tick<never, never>['log']
}

/** Outcome of reading staged chunks back. */
export interface CheckResult {
  /** Number of chunks that were read. */
  readonly readCount: number
  /** Number of chunks that are missing, spoilt or of another version. */
  readonly spoiltCount: number
  /** Number of chunks that are still not compared, since the engine did not answer or the time was over. */
  readonly openCount: number
}

/** Staging area of an engine. */
export interface Staging {
  /** Adds the chunks that are staged already to a set, as far as they match its manifest. */
  adopt: (chunkSet: ChunkCache.ChunkSet) => Promise<void>
  /** Stages the chunks of a set that are in memory. */
  stage: (chunkSet: ChunkCache.ChunkSet) => Promise<void>
  /** Whether every chunk of a set was staged, or found staged, by this process. */
  isComplete: (chunkSet: ChunkCache.ChunkSet) => boolean
  /** The version that is being staged; undefined before the first chunk. */
  version: () => number | undefined
  /** Reads those chunks back that were not compared since a time; starts no read after `untilMs`. Both are in milliseconds. */
  check: (chunkSet: ChunkCache.ChunkSet, sinceMs: number, untilMs: number) => Promise<CheckResult>
  /** Time at which the oldest of the last comparisons began, in milliseconds; -Infinity if a chunk has not been compared. */
  oldestCheckAtMs: (chunkSet: ChunkCache.ChunkSet) => number
  /** Number of chunks that may have been written after a time, in milliseconds. */
  writtenCountAfter: (sinceMs: number) => number
  /** Forgets everything, for instance because the engine has started again. */
  reset: () => void
}

/** Maximum number of reads under way: an engine that is slow to answer is read in time, and one that answers in turn keeps the report waiting for a few reads only. */
const READ_LIMIT_COUNT = 4
/** Number of reads after which a chunk that does not match its digest counts as spoilt: the answer may have been spoilt instead. */
const MISMATCH_READ_COUNT = 2

/**
 * Creates the staging area of an engine.
 *
 * @param options - The engine and the cache.
 * @returns The staging area.
 */
export function createStaging (options: StagingOptions): Staging {
  const { engine, cache, clock, log } = options
  let version: number | undefined
  /** Indexes of the chunks that this process has staged or found staged. */
  const staged = new Set<number>()
  /** When the read of the last matching comparison began, in milliseconds, by index. */
  const checkedAtMs = new Map<number, number>()
  /** When the last write was answered or given up, in milliseconds, by index; of all versions, since they overwrite each other. */
  const writtenAtMs = new Map<number, number>()

  const use = (chunkSet: ChunkCache.ChunkSet): void => {
    if (version === chunkSet.manifest.version) return
    version = chunkSet.manifest.version
    staged.clear()
    checkedAtMs.clear()
  }
  const isFresh = (index: number, sinceMs: number): boolean => (checkedAtMs.get(index) ?? -Infinity) >= sinceMs
  return {
    adopt: async chunkSet => {
      const { model } = chunkSet.manifest
      const matched = new Map<number, number>()
      await forEachConcurrently(await engine.listStaged(model) ?? [], async index => {
        const startedAtMs = clock()
        const bytes = await engine.readStaged(model, index)
        if (Buffer.isBuffer(bytes) && cache.put(chunkSet, index, bytes)) matched.set(index, startedAtMs)
      })
      if (matched.size === 0) return
      version = chunkSet.manifest.version
      staged.clear()
      checkedAtMs.clear()
      for (const [index, startedAtMs] of matched) {
        staged.add(index)
        checkedAtMs.set(index, startedAtMs)
      }
      log('weights', 'Staged chunks found.', { model, version, chunkCount: matched.size })
    },
    stage: async chunkSet => {
      use(chunkSet)
      for (const [index, bytes] of chunkSet.chunks.entries()) {
        if (bytes === undefined || staged.has(index)) continue
        checkedAtMs.delete(index)
        const isWritten = await engine.stage(chunkSet.manifest.model, index, bytes)
        writtenAtMs.set(index, clock())
        if (!isWritten || version !== chunkSet.manifest.version) return
        staged.add(index)
      }
    },
    isComplete: chunkSet => version === chunkSet.manifest.version && staged.size === chunkSet.manifest.digests.length,
    version: () => version,
    check: async (chunkSet, sinceMs, untilMs) => {
      use(chunkSet)
      const { model, digests } = chunkSet.manifest
      const stale = digests.map((_, index) => index).filter(index => !isFresh(index, sinceMs))
      let spoiltCount = 0
      let openCount = 0
      let readCount = 0
      await forEachConcurrently(stale, async index => {
        for (let tryCount = 1; tryCount <= MISMATCH_READ_COUNT; tryCount++) {
          const startedAtMs = clock()
          const bytes = startedAtMs > untilMs ? undefined : await engine.readStaged(model, index)
          // What was read says nothing about a version that is staged since.
          if (bytes === undefined || version !== chunkSet.manifest.version) { openCount++; return }
          readCount++
          if (bytes !== 'absent' && Core.Hash.sha256(bytes) === digests[index]) {
            staged.add(index)
            checkedAtMs.set(index, startedAtMs)
            return
          }
        }
        staged.delete(index)
        checkedAtMs.delete(index)
        spoiltCount++
      })
      if (spoiltCount > 0) log('weights', 'Staged chunks spoilt.', { model, version: chunkSet.manifest.version, spoiltCount })
      return { readCount, spoiltCount, openCount }
    },
    oldestCheckAtMs: ({ manifest }) => version === manifest.version ? Math.min(...manifest.digests.map((_, index) => checkedAtMs.get(index) ?? -Infinity)) : -Infinity,
    writtenCountAfter: sinceMs => [...writtenAtMs.values()].filter(atMs => atMs > sinceMs).length,
    reset: () => {
      version = undefined
      staged.clear()
      checkedAtMs.clear()
      writtenAtMs.clear()
    }
  }
}

async function forEachConcurrently<T> (items: readonly T[], handle: (item: T) => Promise<void>): Promise<void> {
  const rest = items.values()
  await Promise.all(Array.from({ length: READ_LIMIT_COUNT }, async () => {
    for (const item of rest) await handle(item)
  }))
}
