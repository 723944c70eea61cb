import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Abandoned from '../src/routing/abandoned.ts'
import type * as Endpoints from '../src/routing/endpoints.ts'

const START = { endpointId: 'e', bornAtMs: 1 }

function abandonedAttemptsOf (...attempts: ReadonlyArray<readonly [digest: string, atMs: number, start?: Endpoints.EndpointStart]>): Abandoned.AbandonedAttempts {
  const abandoned = Abandoned.createAbandonedAttempts()
  for (const [digest, atMs, start = START] of attempts) abandoned.record({ digest, start, atMs })
  return abandoned
}

describe('Abandoned', () => {
  describe('takeAffectedDigests', () => {
    it('returns each request that was aborted at the ended start, once', () => {
      const abandoned = abandonedAttemptsOf(['a', 100], ['b', 200], ['a', 300])
      expect([abandoned.takeAffectedDigests(START, 150, 400), abandoned.takeAffectedDigests(START, 150, 400)]).toEqual([['a', 'b'], []])
    })

    it('ignores and keeps attempts at another endpoint or another start', () => {
      const abandoned = abandonedAttemptsOf(['a', 100, { endpointId: 'other', bornAtMs: 1 }], ['b', 100, { endpointId: 'e', bornAtMs: 2 }])
      expect([abandoned.takeAffectedDigests(START, 150, 400), abandoned.count()]).toEqual([[], 2])
    })

    it('omits requests after whose abort the endpoint was alive for more than half a second', () => {
      expect([abandonedAttemptsOf(['a', 100]).takeAffectedDigests(START, 600, 1_200), abandonedAttemptsOf(['a', 100]).takeAffectedDigests(START, 601, 1_200)]).toEqual([['a'], []])
    })

    it('omits requests that were aborted more than ten seconds ago', () => {
      expect([abandonedAttemptsOf(['a', 100]).takeAffectedDigests(START, 0, 10_100), abandonedAttemptsOf(['a', 100]).takeAffectedDigests(START, 0, 10_101)]).toEqual([['a'], []])
    })

    it('removes expired attempts when any endpoint ends', () => {
      const abandoned = abandonedAttemptsOf(['a', 100])
      abandoned.takeAffectedDigests({ endpointId: 'other', bornAtMs: 1 }, 0, 10_101)
      expect(abandoned.count()).toEqual(0)
    })
  })

  it('keeps a limited number of attempts, the latest ones', () => {
    const abandoned = abandonedAttemptsOf(...Array.from({ length: 2_000 }, (_, at) => [`d${at}`, at] as const))
    expect([abandoned.count(), abandoned.takeAffectedDigests(START, 0, 2_000).at(-1)]).toEqual([1_024, 'd1999'])
  })
})
