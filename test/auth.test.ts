import * as Fs from 'node:fs'
import * as Os from 'node:os'
import * as Path from 'node:path'
import type * as Http from 'node:http'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Auth from '../src/edge/auth.ts'
import * as Keys from '../src/edge/keys.ts'

describe('Auth', () => {
  const request: Auth.SignedRequest = { method: 'POST', path: '/call', body: 'tons=12', covered: '{"attemptId":"a"}' }
  const create = (keys: string[]) => {
    const clock = { nowMs: 1_000_000 }
    return { clock, verifier: Auth.createVerifier({ keys: () => keys, now: () => clock.nowMs }) }
  }

  describe('verify', () => {
    it('accepts a signed request once', () => {
      const { clock, verifier } = create(['key-one-1'])
      const header = Auth.sign('key-one-1', request, clock.nowMs)
      expect(header.includes('key-one-1')).toEqual(false)
      expect(verifier.verify(header, request)).toEqual({ accepted: true })
      expect(verifier.verify(header, request).reason).toEqual('repeated')
    })

    it('refuses another method, path, body or covered header', () => {
      const { clock, verifier } = create(['key-one-1'])
      const others: Array<Partial<Auth.SignedRequest>> = [{ method: 'PUT' }, { path: '/other' }, { body: 'tons=13' }, { body: undefined }, { covered: '' }]
      for (const other of others) {
        expect(verifier.verify(Auth.sign('key-one-1', request, clock.nowMs), { ...request, ...other }).reason).toEqual('wrongKey')
      }
    })

    it('refuses what is missing, malformed, signed with another key or out of the window', () => {
      const { clock, verifier } = create(['key-one-1'])
      expect(verifier.verify(undefined, request).reason).toEqual('missing')
      expect(verifier.verify('Bearer key-one-1', request).reason).toEqual('malformed')
      expect(verifier.verify(Auth.sign('key-two-2', request, clock.nowMs), request).reason).toEqual('wrongKey')
      expect(verifier.verify(Auth.sign('key-one-1', request, clock.nowMs - 30_001), request).reason).toEqual('outOfWindow')
      expect(verifier.verify(Auth.sign('key-one-1', request, clock.nowMs + 30_001), request).reason).toEqual('outOfWindow')
    })

    it('refuses a repeat for as long as its time is in the window', () => {
      for (const aheadMs of [-30_000, 0, 30_000]) {
        const { clock, verifier } = create(['key-one-1'])
        const header = Auth.sign('key-one-1', request, clock.nowMs + aheadMs)
        expect(verifier.verify(header, request).accepted).toEqual(true)
        for (let step = 0; step < 20; step++) {
          clock.nowMs += 7_000
          verifier.verify(Auth.sign('key-one-1', request, clock.nowMs), request)
          expect(verifier.verify(header, request).accepted).toEqual(false)
        }
      }
    })

    it('accepts two keys while they are changed, and no empty one', () => {
      const keys = ['new-key-2', 'old-key-1', '']
      const { clock, verifier } = create(keys)
      expect(verifier.verify(Auth.sign('old-key-1', request, clock.nowMs), request).accepted).toEqual(true)
      expect(verifier.verify(Auth.sign('new-key-2', request, clock.nowMs), request).accepted).toEqual(true)
      expect(verifier.verify(Auth.sign('', request, clock.nowMs), request).accepted).toEqual(false)
      keys.splice(1, 1)
      expect(verifier.verify(Auth.sign('old-key-1', request, clock.nowMs), request).accepted).toEqual(false)
    })
  })

  describe('a guard', () => {
    const guard = Auth.createGuard({ peerKeys: () => ['peer-key-1'], operatorTokens: () => ['token-one-1'] })
    const identify = (authorization: string | undefined) =>
      guard.identify({ method: 'POST', headers: { authorization } } as Http.IncomingMessage, '/rpc/drain', Buffer.from('{}'))
    const signed = { method: 'POST', path: '/rpc/drain', body: '{}' }

    it('tells peers, operators and others apart', () => {
      expect(identify(Auth.sign('peer-key-1', signed)).role).toEqual('peer')
      expect(identify(Auth.sign('token-one-1', signed)).role).toEqual('operator')
      expect(identify('Bearer token-one-1').role).toEqual('operator')
      expect(identify(undefined)).toEqual({ role: 'none', reason: 'missing' })
    })

    it('refuses the peer key as a bearer token', () => {
      expect(identify('Bearer peer-key-1')).toEqual({ role: 'none', reason: 'wrongKey' })
    })
  })
})

describe('Keys', () => {
  describe('createKeyRing', () => {
    it('reads a file again and keeps the old keys when it cannot', () => {
      const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'fescuespread-keys-'))
      const file = Path.join(folder, 'keys')
      Fs.writeFileSync(file, 'first-key\n')
      const ring = Keys.createKeyRing({ value: '', file })._unsafeUnwrap()
      Fs.writeFileSync(file, 'second-key\nfirst-key\n')
      expect(ring.reload()._unsafeUnwrap()).toEqual(2)
      expect([ring.current(), ...ring.accepted()]).toEqual(['second-key', 'second-key', 'first-key'])
      Fs.rmSync(folder, { recursive: true })
      expect(ring.reload()._unsafeUnwrapErr()).toEqual('the key file cannot be read: ENOENT')
      expect(ring.current()).toEqual('second-key')
    })

    it('refuses no key, a short one and too many, and quotes none', () => {
      const reasons = ['', 'short', 'aaaaaaaa,bbbbbbbb,cccccccc,dddddddd,eeeeeeee'].map(value => Keys.createKeyRing({ value, file: '' })._unsafeUnwrapErr())
      expect(reasons).toEqual(['no key is given', 'a key is shorter than 8 characters', '5 keys are given; allowed: 4'])
    })
  })
})
