/**
 * One agent's swarm in virtual time, with scripted peers and sources.
 *
 * @packageDocumentation
 */
import * as Core from '../src/core/index.ts'
import * as Weights from '../src/weights/index.ts'

type Command = Weights.Messages.Command
type Kind = Command['kind']

/** Weights of a test. */
export interface FakeWeights {
  readonly digest: string
  readonly manifest: { readonly sizeBytes: number, readonly chunkSizeBytes: number, readonly wholeDigest: string, readonly chunks: readonly string[] }
}

/** An agent under test. */
export interface FakeAgent {
  readonly tables: Weights.Tables.Tables
  readonly violations: Core.Invariants.Violation[]
  nowMs: () => number
  /** Runs a tick with inputs and returns the commands of that tick. */
  tick: (...inputs: Weights.Messages.Input[]) => Command[]
  /** Lets time pass in steps, each with a tick, and returns all commands. */
  pass: (durationMs: number) => Command[]
  want: (weights: FakeWeights, options?: { readonly instanceIds?: readonly string[], readonly priority?: number }) => void
  learn: (weights: FakeWeights) => Command[]
  hear: (instanceId: string, weights: FakeWeights, held: readonly number[], options?: { readonly seeding?: readonly number[], readonly present?: readonly number[], readonly queuedCount?: number }) => Command[]
  /** The fetches in progress. */
  pending: (sourceId?: string) => Weights.Tables.FetchRow[]
  end: (fetch: Pick<Weights.Tables.FetchRow, 'fetchId' | 'digest' | 'index'>, ending: Weights.Messages.FetchEnding) => Command[]
  /** Ends all fetches in progress, and those that follow, as whole. */
  endAll: () => Weights.Tables.FetchRow[]
  deliverAll: (weights: FakeWeights) => void
}

const STEP_MS = 50
const CHUNK_BYTES = 1_000

/**
 * Makes weights with made-up digests.
 *
 * @param name - Names the weights.
 * @param chunks - Names of the chunks.
 * @returns The weights.
 */
export function makeWeights (name: string, chunks: readonly string[]): FakeWeights {
  return {
    digest: Core.Hash.sha256(name),
    manifest: { sizeBytes: chunks.length * CHUNK_BYTES, chunkSizeBytes: CHUNK_BYTES, wholeDigest: Core.Hash.sha256(`${name} whole`), chunks: chunks.map(chunk => Core.Hash.sha256(chunk)) }
  }
}

/**
 * Makes members of zones in turn.
 *
 * @param count - How many.
 * @param zones - Their zones; a zone's region is the part before the dash.
 * @returns Members named a0, a1 and so on.
 */
export function makeMembers (count: number, zones: readonly string[] = ['east-1']): Weights.Messages.Member[] {
  return Array.from({ length: count }, (_, index) => {
    const zone = zones[index % zones.length] ?? ''
    return { instanceId: `a${index}`, zone, region: zone.split('-')[0] ?? '', host: 'h', port: index + 1 }
  })
}

/**
 * Creates an agent under test.
 *
 * @param options - Who it is, who else there is, and its bounds.
 * @returns The agent.
 */
export function createAgent (options: { readonly members: readonly Weights.Messages.Member[], readonly instanceId?: string, readonly memoryBytes?: number, readonly seed?: number }): FakeAgent {
  const own = options.members.find(member => member.instanceId === (options.instanceId ?? 'a0')) as Weights.Messages.Member
  const tables = Weights.Tables.createTables(
    { ...own, memoryBytes: options.memoryBytes ?? 1e9, borderBytesPerSecond: 1e6 },
    [{ sourceId: 'origin', address: { host: 'origin', port: 1 }, crossesBorder: false }]
  )
  Weights.Tables.setMembers(tables, options.members)
  const step = Core.Loop.createStepper<Weights.Tables.Tables, Weights.Messages.Input, Command>(tables, Weights.Systems.SYSTEMS, Core.Random.createRandom(options.seed ?? 1))
  const violations: Core.Invariants.Violation[] = []
  let nowMs = 1_000
  const tick = (...inputs: Weights.Messages.Input[]): Command[] => {
    const result = step(inputs, nowMs)
    violations.push(...result.violations)
    return [...result.commands]
  }
  const bits = (weights: FakeWeights, indices: readonly number[]): string => {
    const bitmap = Weights.Bitmap.createBitmap(weights.manifest.chunks.length)
    indices.forEach(index => { Weights.Bitmap.add(bitmap, index) })
    return Weights.Bitmap.encode(bitmap)
  }
  const wants: Weights.Tables.SetSpec[] = []
  const pending = (sourceId?: string): Weights.Tables.FetchRow[] => [...tables.fetches.rows()].filter(fetch => sourceId === undefined || fetch.sourceId === sourceId)
  const end: FakeAgent['end'] = (fetch, ending) => {
    const chunkDigest = tables.sets.get(fetch.digest)?.chunks?.manifest.chunks[fetch.index] ?? ''
    return tick({ kind: 'chunkFetched', fetchId: fetch.fetchId, chunkDigest, ending, sizeBytes: CHUNK_BYTES })
  }
  return {
    tables,
    violations,
    nowMs: () => nowMs,
    tick,
    pass: durationMs => {
      const commands: Command[] = []
      for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        nowMs += STEP_MS
        commands.push(...tick())
      }
      return commands
    },
    want: (weights, { instanceIds = options.members.map(member => member.instanceId), priority = 0 } = {}) => {
      wants.push({ digest: weights.digest, sizeBytes: weights.manifest.sizeBytes, priority, instanceIds })
      Weights.Tables.setWanted(tables, wants, nowMs)
    },
    learn: weights => tick({ kind: 'manifestFetched', digest: weights.digest, manifest: weights.manifest, sourceId: 'origin' }),
    hear: (instanceId, weights, held, { seeding = [], present = [], queuedCount = 0 } = {}) => tick({
      kind: 'newsHeard',
      news: { instanceId, digest: weights.digest, held: bits(weights, held), present: bits(weights, present), seeding: bits(weights, seeding), queuedCount }
    }),
    pending,
    end,
    endAll: () => {
      const ended: Weights.Tables.FetchRow[] = []
      for (let fetch = pending()[0]; fetch !== undefined; fetch = pending()[0]) {
        ended.push(fetch)
        end(fetch, 'whole')
      }
      return ended
    },
    deliverAll: weights => {
      const started = (): number => tables.sets.get(weights.digest)?.chunks?.deliveryStartedAtMs.findIndex(atMs => atMs > 0) ?? -1
      for (let index = started(); index >= 0; index = started()) tick({ kind: 'chunkDelivered', digest: weights.digest, index, accepted: true })
    }
  }
}

/**
 * Picks the commands of one kind.
 *
 * @param kind - The kind.
 * @param commands - Commands.
 * @returns Those of the kind.
 */
export function of<K extends Kind> (kind: K, commands: readonly Command[]): Array<Extract<Command, { kind: K }>> {
  return commands.filter((command): command is Extract<Command, { kind: K }> => command.kind === kind)
}
