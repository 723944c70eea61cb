/**
 * Authentication of the system's own processes and of operators: requests signed with a shared key.
 *
 * The key never crosses the network. A signature covers the method, the path, the body, the time,
 * a nonce and whatever headers carry orders; a verifier takes each nonce once.
 *
 * @packageDocumentation
 */
import * as Crypto from 'node:crypto'
import type * as Http from 'node:http'

/** What a signature covers. */
export interface SignedRequest {
  readonly method: string
  /** The path without its query. */
  readonly path: string
  readonly body?: Uint8Array | string
  /** Headers that carry orders, joined by the caller. */
  readonly covered?: string
}

/** Why a signature was refused. */
export type RefusalReason = 'missing' | 'malformed' | 'wrongKey' | 'outOfWindow' | 'repeated'

/** The result of a verification. */
export interface Verdict {
  readonly accepted: boolean
  readonly reason?: RefusalReason
}

/** Verifies signed requests. */
export interface Verifier {
  verify: (authorization: string | undefined, request: SignedRequest) => Verdict
}

/** Settings of a verifier. */
export interface VerifierOptions {
  /** The keys accepted at the moment: two while keys are being changed. */
  readonly keys: () => readonly string[]
  /** Returns wall-clock time in milliseconds since 1970. */
  readonly now: () => number
  /** The most that the signer's clock may differ, in milliseconds. */
  readonly windowMs?: number
}

/** The scheme of the `authorization` header. */
export const SCHEME = 'Fescue-Hmac-Sha256'
const WINDOW_MS = 30_000
const NONCE_BYTES = 12
const HEADER = new RegExp(`^${SCHEME} (\\d{1,15}) ([\\w-]{8,64}) ([\\w-]{43})$`)
const EMPTY_BODY_DIGEST = digestOf('')

/**
 * Signs a request.
 *
 * @param key - The shared key.
 * @param request - What the signature covers.
 * @param nowMs - Wall-clock time in milliseconds since 1970.
 * @returns The value of the `authorization` header.
 */
export function sign (key: string, request: SignedRequest, nowMs: number = Date.now()): string {
  const nonce = Crypto.randomBytes(NONCE_BYTES).toString('base64url')
  return `${SCHEME} ${nowMs} ${nonce} ${signatureOf(key, request, String(nowMs), nonce).toString('base64url')}`
}

/**
 * Creates a verifier.
 *
 * @param options - Keys, clock and window.
 * @returns The verifier. It remembers the nonces of the last two windows.
 */
export function createVerifier (options: VerifierOptions): Verifier {
  const windowMs = options.windowMs ?? WINDOW_MS
  const keptMs = 2 * windowMs
  let recent = new Set<string>()
  let older = new Set<string>()
  let rotatedAtMs = options.now()

  const rotate = (nowMs: number): void => {
    const sinceMs = nowMs - rotatedAtMs
    if (sinceMs < keptMs) return
    older = sinceMs < 2 * keptMs ? recent : new Set()
    recent = new Set()
    rotatedAtMs = nowMs
  }
  const take = (nonce: string): boolean => {
    if (recent.has(nonce) || older.has(nonce)) return false
    recent.add(nonce)
    return true
  }
  return {
    verify: (authorization, request) => {
      if (authorization === undefined) return refused('missing')
      const [, time = '', nonce = '', given = ''] = HEADER.exec(authorization) ?? []
      if (time === '') return refused('malformed')
      const nowMs = options.now()
      const signature = Buffer.from(given, 'base64url')
      if (!options.keys().some(key => matches(signature, key, request, time, nonce))) return refused('wrongKey')
      if (Math.abs(nowMs - Number(time)) > windowMs) return refused('outOfWindow')
      rotate(nowMs)
      return take(nonce) ? { accepted: true } : refused('repeated')
    }
  }
}

/**
 * Compares a secret with a given text in constant time.
 *
 * @param given - What a caller sent.
 * @param expected - The secrets that are accepted; an empty one never matches.
 * @returns Whether one of them is equal.
 */
export function sameSecret (given: string, expected: readonly string[]): boolean {
  const digest = digestOf(given)
  return expected.filter(secret => secret !== '' && Crypto.timingSafeEqual(digest, digestOf(secret))).length > 0
}

/** Who made a request. */
export type Role = 'peer' | 'operator' | 'none'

/** Tells who made a request. */
export interface Guard {
  /** Takes the request, its path, its whole body and the headers that carry orders. */
  identify: (request: Http.IncomingMessage, path: string, body?: Uint8Array, covered?: string) => { readonly role: Role, readonly reason?: RefusalReason }
}

/** The keys of a guard. */
export interface GuardKeys {
  readonly peerKeys: () => readonly string[]
  readonly operatorTokens: () => readonly string[]
}

const BEARER = 'Bearer '

/**
 * Creates a guard. Processes sign with the peer key; operators sign with their token or send it as a bearer token.
 *
 * @param keys - The keys accepted.
 * @param now - Returns wall-clock time in milliseconds since 1970.
 * @returns The guard.
 */
export function createGuard (keys: GuardKeys, now: () => number = Date.now): Guard {
  const peers = createVerifier({ keys: keys.peerKeys, now })
  const operators = createVerifier({ keys: keys.operatorTokens, now })
  return {
    identify: (request, path, body, covered) => {
      const { authorization } = request.headers
      if (authorization?.startsWith(BEARER) === true) {
        const known = sameSecret(authorization.slice(BEARER.length), keys.operatorTokens())
        return known ? { role: 'operator' } : { role: 'none', reason: 'wrongKey' }
      }
      const signed: SignedRequest = { method: request.method ?? '', path, body, covered }
      const peer = peers.verify(authorization, signed)
      if (peer.accepted) return { role: 'peer' }
      if (peer.reason !== 'wrongKey') return { role: 'none', reason: peer.reason }
      const operator = operators.verify(authorization, signed)
      return operator.accepted ? { role: 'operator' } : { role: 'none', reason: operator.reason }
    }
  }
}

function matches (signature: Buffer, key: string, request: SignedRequest, time: string, nonce: string): boolean {
  return key !== '' && Crypto.timingSafeEqual(signature, signatureOf(key, request, time, nonce))
}

function signatureOf (key: string, request: SignedRequest, time: string, nonce: string): Buffer {
  const body = request.body === undefined || request.body.length === 0 ? EMPTY_BODY_DIGEST : digestOf(request.body)
  return Crypto.createHmac('sha256', key)
    .update(`${request.method}\n${request.path}\n${time}\n${nonce}\n${request.covered?.length ?? 0}\n${request.covered ?? ''}\n`)
    .update(body)
    .digest()
}

function digestOf (data: Uint8Array | string): Buffer {
  return Crypto.createHash('sha256').update(data).digest()
}

function refused (reason: RefusalReason): Verdict {
  return { accepted: false, reason }
}
