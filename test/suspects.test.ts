import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as FastCheck from 'fast-check'
import * as Routing from '../src/routing/index.ts'

const { Suspects } = Routing
type Cuts = ReadonlyArray<readonly [string, string, number]>

/** Creates evidence of a cut at an endpoint that does not report its start time. */
const cutEvidence = (digest: string, endpointId: string, atMs: number): Routing.Evidence.Evidence => Routing.Evidence.evidenceOfCut(digest, { endpointId, bornAtMs: undefined, atMs })
/** Adds cuts, each given by the digest of its request, its endpoint and its time in milliseconds. */
const suspectsOf = (cuts: Cuts): Routing.Suspects.Suspects => {
  const suspects = Suspects.createSuspects()
  for (const [digest, endpointId, atMs] of cuts) suspects.addEvidence(cutEvidence(digest, endpointId, atMs))
  return suspects
}
const quarantinedDigests = (cuts: Cuts): string[] => suspectsOf(cuts).quarantined().map(({ digest }) => digest).sort()
const answerEvidence = (digest: string, atMs: number): Routing.Evidence.Evidence => ({ digest, cuts: [], triedAtMs: [], answeredAtMs: atMs })
const trialEvidence = (digest: string, atMs: number): Routing.Evidence.Evidence => ({ digest, cuts: [], triedAtMs: [atMs], answeredAtMs: -Infinity })
const THREE_CUTS: Cuts = [['bad', 'a', 1_000], ['bad', 'b', 3_000], ['bad', 'c', 5_000]]

describe('Suspects', () => {
  describe('quarantined', () => {
    it('contains a request after three crashes, but not after two', () => {
      expect([quarantinedDigests(THREE_CUTS.slice(0, 2)), quarantinedDigests(THREE_CUTS)]).toEqual([[], ['bad']])
    })

    it('counts the cuts of one crash once, whichever gateway reports them', () => {
      expect(quarantinedDigests([['bad', 'a', 1_000], ['bad', 'a', 1_400], ['bad', 'a', 1_900], ['bad', 'b', 3_000]])).toEqual([])
    })

    it('omits a request that got a complete answer at this gateway shortly before', () => {
      const suspects = Suspects.createSuspects()
      suspects.recordAnswer('bad', 900)
      for (const [digest, endpointId, atMs] of THREE_CUTS) suspects.addEvidence(cutEvidence(digest, endpointId, atMs))
      expect([suspects.quarantined().length, suspects.get('bad')?.answeredAtMs]).toEqual([0, 900])
    })

    it('counts one start of an endpoint once, however long its connections are being cut', () => {
      const suspects = Suspects.createSuspects()
      const addCut = (bornAtMs: number, atMs: number): void => { suspects.addEvidence(Routing.Evidence.evidenceOfCut('bad', { endpointId: 'a', bornAtMs, atMs })) }
      for (const atMs of [1_000, 3_000, 5_000, 7_000]) addCut(1, atMs)
      const countForOneStart = suspects.quarantined().length
      addCut(2, 9_000)
      addCut(3, 9_500)
      expect([countForOneStart, suspects.quarantined().length]).toEqual([0, 1])
    })

    it('counts an endpoint again that crashed again after its return', () => {
      expect(quarantinedDigests([['bad', 'a', 1_000], ['bad', 'a', 4_000], ['bad', 'a', 7_000]])).toEqual(['bad'])
    })

    it('omits requests that were cut together with the request that explains the crashes, however often', () => {
      const beside: Cuts = [['beside', 'a', 1_010], ['beside', 'b', 3_010], ['beside', 'c', 5_010], ['other', 'a', 1_010]]
      expect(quarantinedDigests([...beside, ...THREE_CUTS, ['bad', 'd', 7_000]])).toEqual(['bad'])
    })

    it('contains neither of two requests that were always cut together, until there are four crashes', () => {
      const both = (count: number): Cuts => Array.from({ length: count }, (_, at) => [['x', `e${at}`, at * 2_000], ['y', `e${at}`, at * 2_000]] as const).flat()
      expect([quarantinedDigests(both(2)), quarantinedDigests(both(3)), quarantinedDigests(both(4))]).toEqual([[], [], ['x']])
    })

    it('contains each of several requests with separate crashes', () => {
      expect(quarantinedDigests([...THREE_CUTS, ['worse', 'd', 1_000], ['worse', 'e', 2_000], ['worse', 'f', 3_000]])).toEqual(['bad', 'worse'])
    })

    it('omits a request that got a complete answer, and contains it again after three crashes a minute later', () => {
      const suspects = suspectsOf(THREE_CUTS)
      suspects.addEvidence(answerEvidence('bad', 6_000))
      const countAfterAnswer = suspects.quarantined().length
      for (const [digest, endpointId, atMs] of THREE_CUTS) suspects.addEvidence(cutEvidence(digest, endpointId, atMs))
      const countAfterOldEvidence = suspects.quarantined().length
      for (const [digest, endpointId, atMs] of THREE_CUTS) suspects.addEvidence(cutEvidence(digest, endpointId, atMs + 65_001))
      expect([countAfterAnswer, countAfterOldEvidence, suspects.quarantined().length]).toEqual([0, 0, 1])
    })

    it('contains a request after four crashes even if most of them are explained by others', () => {
      const between: Cuts = [['worse', 'z', 500], ['worse', 'b', 3_010], ['worse', 'c', 5_010]]
      expect([quarantinedDigests([...THREE_CUTS, ...between]), quarantinedDigests([...THREE_CUTS, ...between, ['worse', 'y', 7_000]])]).toEqual([['bad'], ['bad', 'worse']])
    })

    it('contains each of several crashing requests although a popular request was cut more often, by all of them', () => {
      const more: Cuts = [['more', 'd', 7_000], ['more', 'e', 9_000], ['more', 'f', 11_000]]
      const popular: Cuts = [...THREE_CUTS.slice(0, 2), ...more.slice(0, 2)].map(([, endpointId, atMs]) => ['popular', endpointId, atMs + 5])
      const withoutAnswer = suspectsOf([...popular, ...THREE_CUTS, ...more, ['more', 'g', 13_000]])
      const withAnswer = Suspects.createSuspects()
      withAnswer.recordAnswer('popular', 900)
      for (const [digest, endpointId, atMs] of [...popular, ...THREE_CUTS, ...more]) withAnswer.addEvidence(cutEvidence(digest, endpointId, atMs))
      expect([withoutAnswer, withAnswer].map(suspects => suspects.quarantined().map(({ digest }) => digest).sort())).toEqual([['bad', 'more', 'popular'], ['bad', 'more']])
    })

    it('does not depend on the order of the evidence', () => {
      const cutArbitrary = FastCheck.tuple(FastCheck.constantFrom('p', 'q', 'r', 's'), FastCheck.constantFrom('a', 'b', 'c'), FastCheck.integer({ min: 0, max: 3 }).map(at => at * 2_000))
      FastCheck.assert(FastCheck.property(FastCheck.uniqueArray(cutArbitrary, { maxLength: 8, selector: String }), FastCheck.infiniteStream(FastCheck.nat()), (cuts, draws) => {
        const shuffled = [...cuts].map(end => ({ end, draw: draws.next().value as number })).sort((a, b) => a.draw - b.draw).map(({ end }) => end)
        return String(quarantinedDigests(cuts)) === String(quarantinedDigests(shuffled))
      }), { seed: 3, numRuns: 500 })
    })

    it('contains the crashing request if other requests run at the same time and are repeated', () => {
      FastCheck.assert(FastCheck.property(FastCheck.array(FastCheck.uniqueArray(FastCheck.integer({ min: 0, max: 9 }), { maxLength: 6 }), { minLength: 5, maxLength: 5 }), bystanders => {
        const cuts = bystanders.flatMap((beside, at) => [['bad', `e${at}`, at * 2_000] as const, ...beside.map(other => [`o${other}`, `e${at}`, at * 2_000 + 5] as const)])
        return quarantinedDigests(cuts).includes('bad')
      }), { seed: 5, numRuns: 500 })
    })
  })

  describe('actionOf', () => {
    it('allows two trials of a quarantined request, after increasing delays, and then no more', () => {
      const suspects = suspectsOf(THREE_CUTS)
      const verdicts = (...times: number[]): string[] => times.map(atMs => suspects.actionOf(['bad'], atMs, () => true))
      expect(verdicts(5_001, 14_999, 15_000)).toEqual(['keepBack', 'keepBack', 'try'])
      suspects.addEvidence(trialEvidence('bad', 15_000))
      suspects.addEvidence(cutEvidence('bad', 'd', 15_100))
      expect(verdicts(15_200, 75_000, 75_100)).toEqual(['keepBack', 'keepBack', 'try'])
      suspects.addEvidence(trialEvidence('bad', 75_100))
      expect(verdicts(75_200, 1_000_000)).toEqual(['keepBack', 'keepBack'])
    })

    it('leaves the first trial to one gateway, while the others wait twice as long', () => {
      const suspects = suspectsOf(THREE_CUTS)
      expect([15_000, 24_999, 25_000].map(atMs => suspects.actionOf(['bad'], atMs, () => false))).toEqual(['keepBack', 'keepBack', 'try'])
    })

    it('sends requests without evidence', () => {
      expect(suspectsOf(THREE_CUTS).actionOf(['good'], 6_000, () => true)).toEqual('send')
    })
  })

  describe('mayRepeatTrial', () => {
    const mayRepeat = (refusedCount: number, later: readonly Routing.Evidence.Evidence[] = [], triedAtMs: readonly number[] = []): boolean => {
      const suspects = suspectsOf(THREE_CUTS)
      const trial = { sentAtMs: 80_000, refusedCount }
      for (const atMs of triedAtMs) suspects.addEvidence(trialEvidence('bad', atMs))
      for (const evidence of [{ ...trialEvidence('bad', 0), triedAtMs: [trial.sentAtMs] }, ...later]) suspects.addEvidence(evidence)
      return suspects.mayRepeatTrial(['bad'], trial)
    }

    it('counts sends that endpoints turned away as trials, and allows two in all', () => {
      expect([mayRepeat(0), mayRepeat(1), mayRepeat(2), mayRepeat(0, [], [15_000]), mayRepeat(1, [], [15_000])]).toEqual([true, true, false, true, false])
    })

    it('forbids a repeat after another crash or trial', () => {
      expect([mayRepeat(0, [cutEvidence('bad', 'd', 80_100)]), mayRepeat(0, [trialEvidence('bad', 81_100)])]).toEqual([false, false])
    })

    it('allows a repeat of a request that is not quarantined any more', () => {
      expect([mayRepeat(5, [answerEvidence('bad', 80_100)]), suspectsOf([]).mayRepeatTrial(['bad'], { sentAtMs: 0, refusedCount: 5 })]).toEqual([true, true])
    })

    it('is told to other gateways with each send that was turned away', () => {
      const [here, there] = [suspectsOf(THREE_CUTS), suspectsOf(THREE_CUTS)]
      const tried = { ...trialEvidence('bad', 0), triedAtMs: Routing.Evidence.datesOfTrial({ sentAtMs: 15_000, refusedCount: 1 }) }
      for (const suspects of [here, there]) suspects.addEvidence({ ...tried, triedAtMs: [15_000] })
      here.addEvidence(tried)
      const told = here.get('bad')
      if (told !== undefined) there.addEvidence({ ...told, triedAtMs: told.triedAtMs.map(atMs => atMs + 400) })
      expect([there.get('bad')?.triedAtMs.length, there.actionOf(['bad'], 1_000_000, () => true)]).toEqual([2, 'keepBack'])
    })
  })

  describe('addEvidence', () => {
    it('ignores an answer to a request without crashes', () => {
      const suspects = Suspects.createSuspects()
      expect([suspects.addEvidence(answerEvidence('good', 1)), suspects.count()]).toEqual([false, 0])
    })

    it('limits the number of requests and keeps those with the most crashes', () => {
      const suspects = suspectsOf(THREE_CUTS)
      for (let at = 0; at < 10_000; at++) suspects.addEvidence(cutEvidence(`d${at}`, 'z', 10_000 + at))
      expect([suspects.count() <= 2_048, suspects.quarantined().length]).toEqual([true, 1])
    })
  })

  describe('removeExpired', () => {
    it('removes evidence after ten minutes, or after thirty minutes for a quarantined request', () => {
      const suspects = suspectsOf([...THREE_CUTS, ['once', 'z', 5_000]])
      const countAfter = (minutes: number): number => {
        suspects.removeExpired(5_001 + minutes * 60_000)
        return suspects.count()
      }
      expect([countAfter(9), countAfter(10), countAfter(29), countAfter(30)]).toEqual([2, 1, 1, 0])
    })
  })

  describe('takeChanges', () => {
    it('returns each change of the quarantine once', () => {
      const suspects = suspectsOf(THREE_CUTS)
      const changes = (): string[] => suspects.takeChanges().map(({ evidence, isQuarantined: isKeptBack }) => `${evidence.digest} ${isKeptBack}`)
      const first = [changes(), changes()]
      suspects.addEvidence(answerEvidence('bad', 6_000))
      expect([...first, changes()]).toEqual([['bad true'], [], ['bad false']])
    })
  })
})
