/**
 * Interfaces of an agent to its engine and to the weight origin.
 *
 * @packageDocumentation
 */
import type * as Neverthrow from 'neverthrow'
import type * as Routing from '../routing/index.ts'

/** State that an engine reports about itself. */
export interface EngineReport extends Routing.Endpoints.LoadReport {
  /** Start time of the engine by its own clock, in milliseconds; undefined if the engine does not report it. */
  readonly bornAtMs: number | undefined
  /** Number of orders that the engine has accepted since its start; undefined if the engine does not report it. */
  readonly orderCount: number | undefined
}

/** Outcome of an order to load weights; `lost` when the engine did not answer. */
export type LoadOrderResult = 'accepted' | 'done' | 'refused' | 'lost'

/** Whether an engine loads after its running calls have ended, or cuts them off. */
export type LoadMode = 'afterRunning' | 'cutting'

/** Client of the engine on the agent's instance. */
export interface Engine {
  /** Reads the engine's report; undefined if the engine does not answer. */
  report: () => Promise<EngineReport | undefined>
  /** Lists the indexes of the staged chunks; undefined if the engine does not answer. */
  listStaged: (model: string) => Promise<readonly number[] | undefined>
  /** Reads a staged chunk; `absent` if the engine lacks it, undefined if it does not answer. */
  readStaged: (model: string, index: number) => Promise<Buffer | 'absent' | undefined>
  /** Writes a chunk to the engine's staging area; returns whether the engine accepted it. */
  stage: (model: string, index: number, bytes: Buffer) => Promise<boolean>
  /** Orders the engine to load the staged weights, on condition that it has accepted `orderCount` orders so far; without a condition if that is undefined. */
  loadStaged: (model: string, version: number, mode: LoadMode, orderCount: number | undefined) => Promise<LoadOrderResult>
  /** Orders the engine to give up all layers of a model, under the same condition. It counts as an order, so that earlier ones with this condition are no longer accepted. */
  unload: (model: string, version: number, orderCount: number | undefined) => Promise<LoadOrderResult>
}

/** Digests of a version's chunks, in order of their index. */
export interface WeightManifest {
  readonly model: string
  readonly version: number
  /** SHA-256 digests in hexadecimal. */
  readonly digests: readonly string[]
}

/** Client of the weight origin. An error is a description for the log. */
export interface Origin {
  manifest: (model: string, version: number) => Promise<Neverthrow.Result<WeightManifest, string>>
  chunk: (model: string, version: number, index: number) => Promise<Neverthrow.Result<Buffer, string>>
}
