/**
 * The procedures that processes serve to each other, and a client for them.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'

/** The versions that the requesting process holds. */
export type ExchangeRequest = Schemas.Control.Versions

/** The documents newer than the versions of the request, and the versions that the answering process holds. */
export interface ExchangeAnswer {
  readonly versions: Schemas.Control.Versions
  readonly documents: readonly Schemas.Control.Document[]
}

/** Handlers of the procedures that a process serves. */
export interface PeerHandlers {
  /** Returns the documents that are newer than the given versions, and the versions held. */
  exchange: (request: ExchangeRequest) => ExchangeAnswer
  /** Processes a peer's gossip message and returns the answer. */
  gossip: (message: Schemas.Membership.Gossip) => Promise<Schemas.Membership.Gossip>
  /** Probes another process on behalf of a peer. */
  probe: (request: Schemas.Membership.ProbeRequest) => Promise<Schemas.Membership.ProbeAnswer>
}

/**
 * Creates the procedures, to be added to the router of a process.
 *
 * @param handlers - The handlers of the procedures.
 * @returns The procedures by name.
 */
export function createProcedures (handlers: PeerHandlers) {
  const { peerProcedure } = Edge.Rpc
  return {
    exchange: peerProcedure
      .input(Schemas.Decode.parser(Schemas.Control.Versions))
      .mutation(({ input }) => handlers.exchange(input)),
    gossip: peerProcedure
      .input(Schemas.Decode.parser(Schemas.Membership.Gossip))
      .mutation(async ({ input }) => await handlers.gossip(input)),
    probe: peerProcedure
      .input(Schemas.Decode.parser(Schemas.Membership.ProbeRequest))
      .mutation(async ({ input }) => await handlers.probe(input))
  }
}

/** The type of a router with these procedures. */
export type PeerRouter = ReturnType<typeof Edge.Rpc.router<ReturnType<typeof createProcedures>>>

/** A client for the procedures of other processes. */
export interface PeerClient {
  /** Sends a gossip message on a connection of its own and returns the answer. */
  gossip: (target: Edge.HttpClient.Target, message: Schemas.Membership.Gossip) => Promise<Schemas.Membership.Gossip | undefined>
  /** Asks one process to probe another. Returns undefined when the process asked does not answer. */
  relay: (via: Edge.HttpClient.Target, request: Schemas.Membership.ProbeRequest) => Promise<Schemas.Membership.ProbeAnswer | undefined>
  /** Fetches the documents that are newer than some versions. */
  pull: (target: Edge.HttpClient.Target, versions: Schemas.Control.Versions) => Promise<ExchangeAnswer | undefined>
}

const GOSSIP_TIMEOUT_MS = 800
const RELAY_TIMEOUT_MS = 2_000
const PULL_TIMEOUT_MS = 2_000
/** Maximum time without a byte while documents arrive, in milliseconds: a manifest may be large, and the link slow. */
const PULL_IDLE_TIMEOUT_MS = 1_500
const decodeGossip = Schemas.Decode.lenient(Schemas.Membership.Gossip)
const decodeProbe = Schemas.Decode.lenient(Schemas.Membership.ProbeAnswer)
const decodeDocument = Schemas.Decode.lenient(Schemas.Control.Document)
const decodeVersions = Schemas.Decode.lenient(Schemas.Control.Versions)

/**
 * Creates the client.
 *
 * @param peerKey - Returns the key with which requests are signed.
 * @returns The client. A failed call resolves to undefined.
 */
export function createClient (peerKey: () => string): PeerClient {
  const connect = (target: Edge.HttpClient.Target, timeoutMs: number, arrivingMs = 0) => Edge.Rpc.createClient<PeerRouter>(target, peerKey, timeoutMs, true, arrivingMs)
  return {
    gossip: async (target, message) => {
      const answer = await connect(target, GOSSIP_TIMEOUT_MS).gossip.mutate(message).catch(() => undefined)
      return decodeGossip(answer).unwrapOr(undefined)
    },
    relay: async (via, request) => {
      const answer = await connect(via, RELAY_TIMEOUT_MS).probe.mutate(request).catch(() => undefined)
      return decodeProbe(answer).unwrapOr(undefined)
    },
    pull: async (target, versions) => {
      const answer = await connect(target, PULL_TIMEOUT_MS, PULL_IDLE_TIMEOUT_MS).exchange.mutate(versions).catch(() => undefined)
      const heldVersions = decodeVersions(answer?.versions)
      if (answer === undefined || heldVersions.isErr() || !Array.isArray(answer.documents)) return undefined
      const documents = (answer.documents as unknown[]).flatMap(document => decodeDocument(document).unwrapOr(undefined) ?? [])
      return { versions: heldVersions.value, documents }
    }
  }
}
