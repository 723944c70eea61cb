import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as FastCheck from 'fast-check'
import * as Routing from '../src/routing/index.ts'

const { Evidence, Suspects } = Routing
type Cuts = ReadonlyArray<readonly [key: string, endpointId: string, atMs: number]>

const part = Evidence.partKeyOf
const [DEAD, SHARED, BESIDE] = ['dead', 'shared', 'beside'].map(part) as [string, string, string]
/** The crashing part came only in requests with the shared one, which came in others too. */
const TOGETHER = { [DEAD]: [SHARED], [SHARED]: [] }
/** Adds cuts, each given by the digest of a request or the key of a part, its endpoint and its time in milliseconds. */
const suspectsOf = (cuts: Cuts, sharedWith: Readonly<Record<string, readonly string[]>> = {}): Routing.Suspects.Suspects => {
  const suspects = Suspects.createSuspects()
  for (const [key, endpointId, atMs] of cuts) suspects.addEvidence(Evidence.evidenceOfCut(key, { endpointId, bornAtMs: 1, atMs }, sharedWith[key]))
  return suspects
}
const cutsOf = (key: string, times: readonly number[]): Cuts => times.map(atMs => [key, `e${atMs}`, atMs] as const)
const answer = (suspects: Routing.Suspects.Suspects, key: string, begunAtMs: number): void => { suspects.addEvidence({ digest: key, cuts: [], triedAtMs: [], answeredAtMs: begunAtMs }) }
const actionOf = (suspects: Routing.Suspects.Suspects, keys: readonly string[], nowMs = 5_001): string => suspects.actionOf(keys, nowMs, () => true)

describe('CrashingParts', () => {
  describe('findCrashingParts', () => {
    it('finds a part after three incidents, but not after two', () => {
      const actions = [[1_000, 3_000], [1_000, 3_000, 5_000]].map(times => actionOf(suspectsOf(cutsOf(DEAD, times)), ['request', DEAD]))
      expect(actions).toEqual(['send', 'keepBack'])
    })

    it('counts crashes at the same moment as one incident, as when a zone fails', () => {
      expect(actionOf(suspectsOf(cutsOf(DEAD, [4_900, 4_930, 4_960, 4_990])), ['request', DEAD])).toEqual('send')
    })

    it('keeps back only requests with all of the parts that always came together', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 3_000, 5_000]), ...cutsOf(SHARED, [1_000, 3_000, 5_000])], TOGETHER)
      expect([['a', SHARED, DEAD], ['b', SHARED], ['c', DEAD]].map(keys => actionOf(suspects, keys))).toEqual(['keepBack', 'send', 'send'])
    })

    it('tells the parts apart as soon as an answer on one of them was begun after the last cut', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 3_000, 5_000]), ...cutsOf(SHARED, [1_000, 3_000, 5_000])], TOGETHER)
      answer(suspects, SHARED, 5_001)
      expect([['a', SHARED], ['b', DEAD]].map(keys => actionOf(suspects, keys, 5_010))).toEqual(['send', 'keepBack'])
    })

    it('keeps back each of the parts that were cut by the same crashes in different requests', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 3_000, 5_000]), ...cutsOf(BESIDE, [1_000, 3_000, 5_000])])
      expect([['a', DEAD], ['b', BESIDE]].map(keys => actionOf(suspects, keys))).toEqual(['keepBack', 'keepBack'])
    })

    it('takes requests with both parts first where one was cut once more than the other', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 3_000, 5_000]), ...cutsOf(SHARED, [1_000, 2_000, 3_000, 5_000])], TOGETHER)
      expect([['a', SHARED], ['b', SHARED, DEAD]].map(keys => actionOf(suspects, keys))).toEqual(['send', 'keepBack'])
    })

    it('keeps back a part whatever else is in a request although other parts were cut beside it nearly as often', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 2_000, 3_000, 5_000]), ...cutsOf(BESIDE, [1_000, 3_000, 5_000])])
      expect([['a', DEAD], ['b', BESIDE]].map(keys => actionOf(suspects, keys))).toEqual(['keepBack', 'send'])
    })

    it('omits parts that were cut beside the one that explains more crashes', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 2_000, 3_000, 4_000, 5_000]), ...cutsOf(BESIDE, [2_000, 3_000, 4_000])])
      expect([['a', BESIDE], ['b', DEAD]].map(keys => actionOf(suspects, keys))).toEqual(['send', 'keepBack'])
    })

    it('finds each of two parts with separate crashes', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 3_000, 5_000]), ...cutsOf(BESIDE, [500, 2_500, 4_500])])
      expect([['a', BESIDE], ['b', DEAD]].map(keys => actionOf(suspects, keys))).toEqual(['keepBack', 'keepBack'])
    })

    it('omits the parts of a request that crashes endpoints by itself', () => {
      const times = [1_000, 3_000, 5_000]
      const suspects = suspectsOf([...cutsOf('request', times), ...cutsOf(SHARED, times)])
      expect([['request', SHARED], ['other', SHARED]].map(keys => actionOf(suspects, keys))).toEqual(['keepBack', 'send'])
    })

    it('finds a part although a request with it was repeated until it was quarantined', () => {
      const suspects = suspectsOf([...cutsOf('repeated', [1_000, 2_000, 3_000]), ...cutsOf(DEAD, [1_000, 2_000, 3_000, 5_000])])
      expect(actionOf(suspects, ['other', DEAD])).toEqual('keepBack')
    })

    it('does not depend on the order of the evidence', () => {
      const cutArbitrary = FastCheck.tuple(FastCheck.constantFrom(DEAD, SHARED, BESIDE, 'request'), FastCheck.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g'), FastCheck.integer({ min: 0, max: 4 }).map(at => at * 50))
      const quarantinedKeys = (cuts: Cuts): string[] => suspectsOf(cuts.map(([key, endpointId, atMs]) => [key, endpointId, atMs + 1_000 * endpointId.charCodeAt(0)])).quarantined().map(({ digest }) => digest).sort()
      FastCheck.assert(FastCheck.property(FastCheck.uniqueArray(cutArbitrary, { maxLength: 20, selector: ([key, endpointId]) => `${key} ${endpointId}` }), FastCheck.infiniteStream(FastCheck.nat()), (cuts, draws) => {
        const shuffled = [...cuts].map(end => ({ end, draw: draws.next().value as number })).sort((a, b) => a.draw - b.draw).map(({ end }) => end)
        return String(quarantinedKeys(cuts)) === String(quarantinedKeys(shuffled))
      }), { seed: 3, numRuns: 500 })
    })
  })
})

describe('Suspects, of parts', () => {
  describe('addEvidence', () => {
    it('gives no credit for answers that were begun before a cut', () => {
      const suspects = suspectsOf(cutsOf(DEAD, [1_000]))
      answer(suspects, DEAD, 1_500)
      for (const [key, endpointId, atMs] of cutsOf(DEAD, [1_400, 2_000, 3_000, 5_000])) suspects.addEvidence(Evidence.evidenceOfCut(key, { endpointId, bornAtMs: 1, atMs }))
      expect([suspects.get(DEAD)?.cuts.length, actionOf(suspects, ['request', DEAD])]).toEqual([3, 'keepBack'])
    })

    it('limits the number of parts, and evicts no request for them', () => {
      const suspects = suspectsOf([...cutsOf('request', [1_000]), ...cutsOf(DEAD, [1_000, 3_000, 5_000])])
      for (let at = 0; at < 10_000; at++) suspects.addEvidence(Evidence.evidenceOfCut(part(String(at)), { endpointId: 'z', bornAtMs: 1, atMs: 10_000 + at }))
      expect([suspects.partCount() <= 2_048, suspects.get('request') !== undefined, actionOf(suspects, ['a', DEAD])]).toEqual([true, true, 'keepBack'])
    })
  })

  describe('isSuspected', () => {
    it('holds for a request with a part that was cut in two incidents without an answer in between', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 3_000]), ...cutsOf(SHARED, [1_000, 3_000]), ...cutsOf('request', [1_000, 3_000])])
      answer(suspects, SHARED, 2_000)
      expect([['a', DEAD], ['b', SHARED], ['request']].map(suspects.isSuspected)).toEqual([true, false, false])
    })
  })

  describe('actionOf', () => {
    it('allows no trial of a part in a request with another part that may have caused the crashes', () => {
      const suspects = suspectsOf([...cutsOf(DEAD, [1_000, 3_000, 5_000]), ...cutsOf(BESIDE, [500, 2_500])])
      expect([['a', DEAD, BESIDE], ['b', DEAD]].map(keys => actionOf(suspects, keys, 7_000))).toEqual(['keepBack', 'try'])
    })

    it('allows three trials, the first soon', () => {
      const suspects = suspectsOf(cutsOf(DEAD, [1_000, 3_000, 5_000]))
      const actions = (...times: number[]): string[] => times.map(atMs => actionOf(suspects, ['request', DEAD], atMs))
      const tryAt = (atMs: number): void => { suspects.addEvidence({ digest: DEAD, cuts: [], triedAtMs: [atMs], answeredAtMs: -Infinity }) }
      const first = actions(6_999, 7_000)
      tryAt(7_000)
      const second = actions(26_999, 27_000)
      tryAt(27_000)
      const third = actions(86_999, 87_000)
      tryAt(87_000)
      expect([first, second, third, actions(1_000_000)]).toEqual([['keepBack', 'try'], ['keepBack', 'try'], ['keepBack', 'try'], ['keepBack']])
    })
  })
})
