/**
 * Agents in one process, with engines in memory, on the stand-in of the platform's store.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as Metrics from '../src/edge/metrics.ts'
import * as Filling from '../src/filling/index.ts'
import type * as Schemas from '../src/schema/index.ts'
import * as Operators from '../platform/operators.ts'
import * as Store from '../platform/store.ts'
import type * as PlatformStore from '../standins/platformStore.ts'
import * as Direct from './direct.ts'

/** What the agents of a fleet have in common. */
export interface FleetOptions {
  readonly store: PlatformStore.PlatformStore
  readonly model: string
  readonly chunkCount: number
  readonly chunkBytes: number
  readonly linkBitsPerSecond: number
  readonly versionMs: number
  /** Whether the origin answers. */
  readonly isOriginUp: () => boolean
}

/** An agent and its engine. */
export interface FleetAgent {
  readonly name: string
  readonly staged: Map<number, Buffer>
  /** The version that the engine serves; 0 for none. */
  version: number
  isEngineUp: boolean
  readonly lines: Array<{ readonly sentence: string, readonly fields: Readonly<Record<string, any>>, readonly line: Schemas.LogLines.LogLine }>
  stop: () => Promise<void>
}

/** What an agent does not get. */
export interface FleetFaults {
  /** Whether reads of the store that wait for changes stay without an answer. */
  readonly isFeedSilent?: () => boolean
  /** A table that the store does not read to it for now. */
  readonly refusedTable?: () => string | undefined
}

/** A fleet of agents. */
export interface Fleet {
  /** How often each chunk was drawn from the origin, by `version/index`. */
  readonly drawnCounts: Map<string, number>
  /** How often the manifest of a version was fetched from the origin, by version. */
  readonly manifestCounts: Map<number, number>
  /** The bytes of a chunk. */
  chunkOf: (version: number, index: number) => Buffer
  start: (name: string, region: string, engine: Partial<Pick<FleetAgent, 'staged' | 'version' | 'isEngineUp'>>, faults?: FleetFaults) => Promise<FleetAgent>
}

/**
 * Creates a fleet without agents.
 *
 * @param options - What its agents have in common.
 * @returns The fleet.
 */
export function createFleet (options: FleetOptions): Fleet {
  const { store, model, chunkCount, chunkBytes } = options
  const drawnCounts = new Map<string, number>()
  const manifestCounts = new Map<number, number>()
  const chunkOf = (version: number, index: number): Buffer => Buffer.alloc(chunkBytes, `${version}/${index} `)
  const digestOf = (bytes: Buffer): string => Crypto.createHash('sha256').update(bytes).digest('hex')
  const origin: Filling.Ports.Origin = {
    manifest: async (_model, version) => {
      if (!options.isOriginUp()) return Neverthrow.err('down')
      manifestCounts.set(version, (manifestCounts.get(version) ?? 0) + 1)
      return Neverthrow.ok({ model, version, digests: Array.from({ length: chunkCount }, (_, index) => digestOf(chunkOf(version, index))) })
    },
    chunk: async (_model, version, index) => {
      if (!options.isOriginUp()) return Neverthrow.err('down')
      const key = `${version}/${index}`
      drawnCounts.set(key, (drawnCounts.get(key) ?? 0) + 1)
      return Neverthrow.ok(chunkOf(version, index))
    }
  }
  const start: Fleet['start'] = async (name, region, engine, faults = {}) => {
    const source = Store.createRowSource(() => ({ host: '127.0.0.1', port: store.port }))
    const silence = new Promise<never>(() => {})
    const lines: FleetAgent['lines'] = []
    let orderCount = 0
    const own: Omit<FleetAgent, 'stop'> = { name, staged: engine.staged ?? new Map(), version: engine.version ?? 0, isEngineUp: engine.isEngineUp ?? true, lines }
    const agent = await Filling.Agent.open({
      name,
      host: '127.0.0.1',
      port: await Direct.freePort(),
      zone: region,
      region,
      seeds: () => [],
      store: {
        ...source,
        readAll: async table => table === faults.refusedTable?.() ? Neverthrow.err({ kind: 'unavailable', reason: 'status 503' }) : await source.readAll(table),
        readSince: async (...asked) => {
          const answer = await source.readSince(...asked)
          return faults.isFeedSilent?.() === true ? await silence : answer
        }
      },
      clock: () => performance.now(),
      random: Core.Random.createRandom(Core.Hash.rankOf(name)),
      metrics: Metrics.createMetrics(),
      log: (prefix, sentence, fields = {}) => { lines.push({ sentence, fields, line: Direct.lineOf('agent', name, prefix, sentence, fields) }) },
      endpoint: { host: '127.0.0.1', port: 1 },
      service: 'llm',
      bounds: () => ({ versionMs: options.versionMs, linkBitsPerSecond: options.linkBitsPerSecond }),
      engine: {
        report: async () => own.isEngineUp ? { activeCount: 0, queuedCount: 0, pace: 1, loading: false, bornAtMs: 1, orderCount, weights: own.version === 0 ? [] : [{ model, version: own.version }] } : undefined,
        listStaged: async () => own.isEngineUp ? [...own.staged.keys()] : undefined,
        readStaged: async (_model, index) => own.isEngineUp ? own.staged.get(index) ?? 'absent' : undefined,
        stage: async (_model, index, bytes) => {
          if (own.isEngineUp) own.staged.set(index, bytes)
          return own.isEngineUp
        },
        loadStaged: async (_model, version) => {
          if (!own.isEngineUp) return 'lost'
          orderCount++
          own.version = version
          return 'accepted'
        },
        unload: async () => {
          if (!own.isEngineUp) return 'lost'
          orderCount++
          own.version = 0
          return 'accepted'
        }
      },
      originAt: () => origin,
      changeOf: Operators.changeOf,
      agentPartOf: Operators.agentPartOf,
      operatorsTable: Operators.OPERATORS_TABLE
    })
    return Object.assign(own, {
      stop: async () => {
        await agent.stop()
        Direct.checkLines(lines.map(line => line.line))
      }
    })
  }
  return { drawnCounts, manifestCounts, chunkOf, start }
}
