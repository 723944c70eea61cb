/**
 * Procedures that every process serves to the others, and the client of them.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'

/** What a peer holds. */
export type ExchangeRequest = Schemas.Control.Versions

/** What the peer did not hold. */
export interface ExchangeAnswer {
  readonly versions: Schemas.Control.Versions
  readonly documents: readonly Schemas.Control.Document[]
}

/** How a process answers the others. */
export interface PeerHandlers {
  /** Answers a peer: what it holds that the peer does not, and the versions held. */
  exchange: (request: ExchangeRequest) => ExchangeAnswer
  /** Takes a peer's message and answers it. */
  gossip: (message: Schemas.Membership.Gossip) => Promise<Schemas.Membership.Gossip>
  /** Probes another process for a peer. */
  probe: (request: Schemas.Membership.ProbeRequest) => Promise<Schemas.Membership.ProbeAnswer>
}

/**
 * Makes the procedures, to be made part of a process's router.
 *
 * @param handlers - How the process answers.
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

/** The type of the procedures that every process serves. */
export type PeerRouter = ReturnType<typeof Edge.Rpc.router<ReturnType<typeof createProcedures>>>

/** What a process asks of another one. */
export interface PeerClient {
  /** Sends a message on a connection of its own. */
  gossip: (target: Edge.HttpClient.Target, message: Schemas.Membership.Gossip) => Promise<Schemas.Membership.Gossip | undefined>
  /** Asks one process to probe another; undefined when the first does not answer. */
  relay: (via: Edge.HttpClient.Target, request: Schemas.Membership.ProbeRequest) => Promise<Schemas.Membership.ProbeAnswer | undefined>
  /** Fetches the documents that are newer than some versions. */
  pull: (target: Edge.HttpClient.Target, versions: Schemas.Control.Versions) => Promise<ExchangeAnswer | undefined>
}

const GOSSIP_TIMEOUT_MS = 800
const RELAY_TIMEOUT_MS = 2_000
const PULL_TIMEOUT_MS = 2_000
const decodeGossip = Schemas.Decode.lenient(Schemas.Membership.Gossip)
const decodeProbe = Schemas.Decode.lenient(Schemas.Membership.ProbeAnswer)
const decodeDocument = Schemas.Decode.lenient(Schemas.Control.Document)
const decodeVersions = Schemas.Decode.lenient(Schemas.Control.Versions)

/**
 * Makes the client.
 *
 * @param peerKey - Returns the key to sign with.
 * @returns The client. A failed call yields undefined.
 */
export function createClient (peerKey: () => string): PeerClient {
  const connect = (target: Edge.HttpClient.Target, timeoutMs: number) => Edge.Rpc.createClient<PeerRouter>(target, peerKey, timeoutMs, true)
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
      const answer = await connect(target, PULL_TIMEOUT_MS).exchange.mutate(versions).catch(() => undefined)
      const heldVersions = decodeVersions(answer?.versions)
      if (answer === undefined || heldVersions.isErr() || !Array.isArray(answer.documents)) return undefined
      const documents = (answer.documents as unknown[]).flatMap(document => decodeDocument(document).unwrapOr(undefined) ?? [])
      return { versions: heldVersions.value, documents }
    }
  }
}
