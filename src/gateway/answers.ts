/**
 * Keeps large answers of keyed calls in the object store, beside their claims.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Platform from '../platform/index.ts'
import type * as Schemas from '../schema/index.ts'

/** Moves answers between claims and the object store. */
export interface Answers {
  /** Makes what is saved with a claim; undefined when a large answer could not be stored. */
  toSaved: (outcome: Schemas.Calls.SavedOutcome, name: string) => Promise<Schemas.Calls.SavedOutcome | undefined>
  /** Reads a saved answer; undefined when it cannot be read whole. */
  toInline: (saved: Schemas.Calls.SavedOutcome) => Promise<Schemas.Calls.Outcome | undefined>
}

/** The largest body that is saved in the claim itself, in base64 digits. */
const MAX_INLINE_DIGITS = 8 * 1024
const STORE_TRY_COUNT = 3
const RETRY_MS = 200
const OBJECT_PREFIX = 'answers/'

/**
 * Creates the keeper of answers.
 *
 * @param objects - Client of the object store.
 * @returns The keeper.
 */
export function createAnswers (objects: Platform.ObjectClient.ObjectClient): Answers {
  const put = async (objectName: string, body: Buffer): Promise<boolean> => {
    for (let tryCount = 1; tryCount <= STORE_TRY_COUNT; tryCount++) {
      if (await objects.put(objectName, body).catch(() => false)) return true
      await new Promise(resolve => setTimeout(resolve, RETRY_MS * tryCount))
    }
    return false
  }
  return {
    toSaved: async (outcome, name) => {
      if (!('bodyBase64' in outcome) || outcome.bodyBase64.length <= MAX_INLINE_DIGITS) return outcome
      const body = Buffer.from(outcome.bodyBase64, 'base64')
      const objectName = OBJECT_PREFIX + name
      if (!await put(objectName, body)) return undefined
      const { httpStatus, contentType } = outcome
      return { httpStatus, contentType, objectName, sizeBytes: body.length, bodyDigest: Core.Hash.sha256(body) }
    },
    toInline: async saved => {
      if ('bodyBase64' in saved) return saved
      const body = await objects.get(saved.objectName).catch(() => undefined)
      if (body === undefined || body.length !== saved.sizeBytes || Core.Hash.sha256(body) !== saved.bodyDigest) return undefined
      return { httpStatus: saved.httpStatus, contentType: saved.contentType, bodyBase64: body.toString('base64') }
    }
  }
}
