/**
 * What an agent needs of the engine beside it and of the origin of weights.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'
import type * as Routing from '../routing/index.ts'

/** An engine's own report. */
export interface EngineReport extends Routing.Endpoints.LoadReport {
  /** When the engine was started, by its own clock. */
  readonly bornAtMs: number | undefined
}

/** How an order was taken. */
export type LoadOrderResult = 'accepted' | 'done' | 'refused' | 'lost'

/** Whether an engine loads once what runs has ended, or cuts it off. */
export type LoadMode = 'afterRunning' | 'cutting'

/** The engine beside an agent. */
export interface Engine {
  /** Undefined when the engine does not answer. */
  report: () => Promise<EngineReport | undefined>
  /** Lists the staged chunks; undefined when the engine does not answer. */
  listStaged: (model: string) => Promise<readonly number[] | undefined>
  readStaged: (model: string, index: number) => Promise<Buffer | undefined>
  stage: (model: string, index: number, bytes: Buffer) => Promise<boolean>
  /** Loads the staged weights. */
  loadStaged: (model: string, version: number, mode: LoadMode) => Promise<LoadOrderResult>
}

/** The digests of a version's chunks, in order. */
export interface WeightManifest {
  readonly model: string
  readonly version: number
  /** SHA-256 in hexadecimal. */
  readonly digests: readonly string[]
}

/** The origin of weights; failures are told in words, for the log. */
export interface Origin {
  manifest: (model: string, version: number) => Promise<Neverthrow.Result<WeightManifest, string>>
  chunk: (model: string, version: number, index: number) => Promise<Neverthrow.Result<Buffer, string>>
}
