/**
 * A process's part in control: learns documents and instances, and tells its peers.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import * as Platform from '../platform/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as Core from '../core/index.ts'
import * as Commits from './commits.ts'
import * as Documents from './documents.ts'

/** Who a process is. */
export interface Identity {
  readonly instanceId: string
  readonly kind: 'gateway' | 'agent'
  readonly zone: string
  readonly region: string
  readonly incarnation: string
}

/** How a node meets the world. */
export interface NodeOptions {
  readonly identity: Identity
  readonly tables: Platform.TableClient.TableClient
  readonly instanceList: Edge.HttpClient.Target
  readonly peerKey: () => string
  readonly random: Core.Random.Random
  readonly clock: () => number
  readonly onDocument: (document: Schemas.Control.Document) => void
  readonly onInstances: (instances: readonly Schemas.Platform.Instance[]) => void
  readonly log: Edge.Log.Log
  /** How often the store and the instance list are read, in milliseconds. */
  readonly pollMs: number
}

/** A process's part in control. */
export interface ControlNode {
  readonly held: Documents.Held
  instances: () => readonly Schemas.Platform.Instance[]
  /** Takes a document from anywhere; tells whether it was news. */
  adopt: (document: Schemas.Control.Document) => boolean
  /** Whether the process has learnt the newest manifest that it can learn. */
  ready: () => boolean
  /** Answers a peer: what it holds that the peer does not, and the versions held. */
  exchange: (request: ExchangeRequest) => ExchangeAnswer
  stop: () => void
}

/** What a peer holds, and what it brings. */
export const ExchangeRequest = Schemas.Control.Versions
/** What a peer holds. */
export type ExchangeRequest = Schemas.Control.Versions

/** What the peer did not hold. */
export interface ExchangeAnswer {
  readonly versions: Schemas.Control.Versions
  readonly documents: readonly Schemas.Control.Document[]
}

const LIST_TIMEOUT_MS = 2_000

/**
 * Starts a node.
 *
 * @param options - Identity and edges.
 * @returns The node.
 */
export function createNode (options: NodeOptions): ControlNode {
  const held = Documents.createHeld()
  let instances: readonly Schemas.Platform.Instance[] = []
  let stopped = false

  const adopt = (document: Schemas.Control.Document): boolean => {
    if (!held.adopt(document)) return false
    options.log.info('control', 'Document in force.', { kind: document.kind, version: document.version })
    options.onDocument(document)
    return true
  }
  const readStore = async (): Promise<void> => {
    const documents = await Commits.readDocuments(options.tables)
    if (documents.isOk()) documents.value.forEach(adopt)
  }
  const readInstances = async (): Promise<void> => {
    const list = await Platform.InstanceClient.listInstances(options.instanceList, LIST_TIMEOUT_MS)
    if (list.isErr()) return
    instances = list.value
    options.onInstances(instances)
  }
  const repeat = (work: () => Promise<void>): void => {
    if (stopped) return
    void work().finally(() => { setTimeout(() => { repeat(work) }, options.pollMs).unref() })
  }
  repeat(readStore)
  repeat(readInstances)
  return {
    held,
    instances: () => instances,
    adopt,
    ready: () => held.manifest() !== undefined,
    exchange: versions => ({ versions: held.versions(), documents: held.newerThan(versions) }),
    stop: () => { stopped = true }
  }
}
