/**
 * Procedures that every process serves to the others, and the client of them.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import * as Schemas from '../schema/index.ts'
import type * as Node from './node.ts'

/**
 * Makes the procedures, to be made part of a process's router.
 *
 * @param node - The process's part in control.
 * @returns The procedures by name.
 */
export function createProcedures (node: Node.ControlNode) {
  const { peerProcedure } = Edge.Rpc
  return {
    exchange: peerProcedure
      .input(Schemas.Decode.parser(Schemas.Control.Versions))
      .mutation(({ input }) => node.exchange(input)),
    gossip: peerProcedure
      .input(Schemas.Decode.parser(Schemas.Membership.Gossip))
      .mutation(async ({ input }) => await node.gossip(input)),
    probe: peerProcedure
      .input(Schemas.Decode.parser(Schemas.Membership.ProbeRequest))
      .mutation(async ({ input }) => await node.probe(input))
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
  pull: (target: Edge.HttpClient.Target, versions: Schemas.Control.Versions) => Promise<Node.ExchangeAnswer | undefined>
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
      const held = decodeVersions(answer?.versions)
      if (answer === undefined || held.isErr() || !Array.isArray(answer.documents)) return undefined
      const documents = (answer.documents as unknown[]).flatMap(document => decodeDocument(document).unwrapOr(undefined) ?? [])
      return { versions: held.value, documents }
    }
  }
}
