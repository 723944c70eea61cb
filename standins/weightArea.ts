/**
 * Staged chunks, orders and loaded layers of a stand-in engine. It records for how long the chunks that each load took had been wrong.
 *
 * @packageDocumentation
 */

/** What the engine holds and how it loads. */
export interface WeightAreaOptions {
  readonly model: string
  readonly chunkCount: number
  readonly layerCount: number
  /** Time for loading all layers, in milliseconds. */
  readonly loadMs: number
  /** The right bytes of a chunk. */
  readonly chunkOf: (version: number, index: number) => Buffer
  /** Version that is loaded and staged at the start; 0 for none. */
  readonly version: number
  readonly clock: () => number
  /** Number of running calls. */
  readonly activeCount: () => number
  /** Ends all running calls. */
  readonly cutCalls: () => void
}

/** Layers that an order took. */
export interface Load {
  readonly version: number
  /** When the order was accepted, in milliseconds. */
  readonly atMs: number
  /** Longest time for which a taken chunk had been missing, spoilt or of another version, in milliseconds; 0 if all were right. */
  readonly wrongForMs: number
  /** Number of events that were made with these layers. */
  eventCount: number
}

/** Layers that are loaded. */
export interface HeldLayers {
  readonly version: number
  readonly from: number
  /** The first layer after the range. */
  readonly target: number
  readonly loads: readonly Load[]
}

/** An order as agents send it. */
export interface Order {
  readonly operation?: string
  readonly version?: number
  readonly switch_mode?: string
  readonly from?: number
  readonly target?: number
  readonly precondition?: number
}

/** Staged chunks and loaded layers of an engine. */
export interface WeightArea {
  /** Start of the engine, in milliseconds since 1970. */
  bornAtMs: number
  readonly loads: readonly Load[]
  held: () => HeldLayers | undefined
  isLoading: () => boolean
  orderCount: () => number
  /** Whether the engine holds every layer. */
  isComplete: () => boolean
  stagedIndexes: () => number[]
  read: (index: number) => Buffer | undefined
  put: (index: number, bytes: Buffer) => void
  /** Spoils a staged chunk. */
  spoil: (index: number) => void
  /** Takes an order; returns the status. */
  order: (order: Order) => number
  /** Starts the engine again, without layers. */
  restart: (keepsStaged: boolean) => void
  close: () => void
}

const CHECK_INTERVAL_MS = 5

/**
 * Creates the area.
 *
 * @param options - What the engine holds and how it loads.
 * @returns The area.
 */
export function createWeightArea (options: WeightAreaOptions): WeightArea {
  const { chunkCount, layerCount, clock } = options
  const staged = new Map<number, { readonly bytes: Buffer, readonly sinceMs: number }>()
  const loads: Load[] = []
  let held: HeldLayers | undefined
  let loading: NodeJS.Timeout | undefined
  let orderCount = 0
  let startedAtMs = clock()

  if (options.version > 0) {
    for (let index = 0; index < chunkCount; index++) staged.set(index, { bytes: options.chunkOf(options.version, index), sinceMs: startedAtMs })
    held = { version: options.version, from: 0, target: layerCount, loads: [] }
  }
  const wrongForMs = (version: number, layers: readonly number[]): number => {
    let longestMs = 0
    for (const layer of layers) {
      const end = Math.ceil((layer + 1) * chunkCount / layerCount)
      for (let index = Math.floor(layer * chunkCount / layerCount); index < end; index++) {
        const chunk = staged.get(index)
        if (chunk?.bytes.equals(options.chunkOf(version, index)) === true) continue
        longestMs = Math.max(longestMs, clock() - (chunk?.sinceMs ?? startedAtMs), Number.EPSILON)
      }
    }
    return longestMs
  }
  const startLoad = (version: number, from: number, target: number, isCutting: boolean): void => {
    const kept = held?.version === version ? held : undefined
    const layers = Array.from({ length: target - from }, (_, at) => from + at).filter(layer => kept === undefined || layer < kept.from || layer >= kept.target)
    const load: Load = { version, atMs: clock(), wrongForMs: wrongForMs(version, layers), eventCount: 0 }
    loads.push(load)
    if (isCutting) options.cutCalls()
    const loadMs = options.loadMs * layers.length / layerCount
    const finish = (): void => {
      loading = undefined
      held = { version, from, target, loads: [...kept?.loads ?? [], load] }
    }
    const begin = (): void => {
      loading = options.activeCount() > 0 && kept === undefined ? setTimeout(begin, CHECK_INTERVAL_MS) : setTimeout(finish, loadMs)
    }
    begin()
  }
  const area: WeightArea = {
    bornAtMs: Date.now(),
    loads,
    held: () => held,
    isLoading: () => loading !== undefined,
    orderCount: () => orderCount,
    isComplete: () => held !== undefined && held.from === 0 && held.target === layerCount,
    stagedIndexes: () => [...staged.keys()],
    read: index => staged.get(index)?.bytes,
    put: (index, bytes) => { staged.set(index, { bytes, sinceMs: clock() }) },
    spoil: index => { staged.set(index, { bytes: Buffer.from('spoilt'), sinceMs: clock() }) },
    order: ({ operation, version, switch_mode: mode, from = 0, target = layerCount, precondition }) => {
      if (operation !== 'start' || version === undefined) return 400
      if (loading !== undefined || (precondition !== undefined && precondition !== orderCount)) return 409
      if (held?.version === version && held.from === from && held.target === target) return 200
      orderCount++
      if (from === target) {
        held = undefined
        return 202
      }
      startLoad(version, from, target, mode === 'truncate')
      return 202
    },
    restart: keepsStaged => {
      clearTimeout(loading)
      loading = undefined
      held = undefined
      orderCount = 0
      startedAtMs = clock()
      area.bornAtMs = Math.max(Date.now(), area.bornAtMs + 1)
      if (!keepsStaged) staged.clear()
    },
    close: () => { clearTimeout(loading) }
  }
  return area
}
