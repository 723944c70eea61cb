/**
 * Sends placement orders to the endpoint and reports its answers to the loop.
 *
 * @packageDocumentation
 */
import * as Edge from '../edge/index.ts'
import type * as Schemas from '../schema/index.ts'
import type * as Messages from './messages.ts'

/** Options of an order sender. */
export interface OrderOptions {
  readonly endpoint: Edge.HttpClient.Target
  readonly manifestOf: (digest: string) => Schemas.Weights.WeightManifest | undefined
  readonly push: (input: Messages.Input) => void
}

/** Sends orders to the endpoint. */
export interface OrderSender {
  /** Sends an order; its answer is pushed to the loop. */
  send: (order: Messages.Order) => void
}

const ORDER_TIMEOUT_MS = 30_000

/** Answers by HTTP status; any other status is a refusal. */
const ANSWERS_BY_STATUS: Readonly<Record<number, Messages.OrderAnswer>> = { 200: 'accepted', 409: 'stale', 422: 'notWhole' }

/**
 * Creates an order sender.
 *
 * @param options - Endpoint, manifests and loop.
 * @returns The sender.
 */
export function createOrderSender (options: OrderOptions): OrderSender {
  const chunksOf = (digest: string): readonly string[] => options.manifestOf(digest)?.chunks ?? []
  const adaptersOf = (adapters: readonly Schemas.Manifest.Adapter[]): object[] =>
    adapters.map(adapter => ({ name: adapter.name, version: adapter.version, digest: adapter.digest, chunks: chunksOf(adapter.digest) }))
  const bodyOf = (order: Messages.Order): object => {
    if (order.kind === 'load') {
      const { name, version, digest } = order.model
      return { kind: 'load', fencingNumber: order.fencingNumber, modelName: name, modelVersion: version, digest, chunks: chunksOf(digest), adapters: adaptersOf(order.adapters) }
    }
    return order.kind === 'adapters' ? { ...order, adapters: adaptersOf(order.adapters) } : order
  }
  const send = async (order: Messages.Order): Promise<void> => {
    try {
      const { status, value } = await Edge.HttpClient.sendJson(options.endpoint, 'POST', '/orders', bodyOf(order), ORDER_TIMEOUT_MS)
      options.push({ kind: 'orderAnswered', order, answer: ANSWERS_BY_STATUS[status] ?? 'refused', reason: status === 200 ? undefined : JSON.stringify(value) })
    } catch (error) {
      options.push({ kind: 'orderAnswered', order, answer: 'lost', reason: (error as Error).message })
    }
  }
  return { send: order => { void send(order) } }
}
