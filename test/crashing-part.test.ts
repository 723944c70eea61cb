import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Crashes from '../testkit/crashes.ts'
import type * as Direct from '../testkit/direct.ts'
import * as PartPlay from '../testkit/partPlay.ts'

/** Minimum share of sound requests that are served, against the share in calm times: the platform requires half. */
const MIN_SERVED_SHARE = 0.9
const servedShare = (answers: readonly Direct.CallAnswer[]): number => answers.filter(({ status, whole }) => status === 200 && whole).length / answers.length

const FORMS: ReadonlyArray<{ readonly name: string, readonly options: Partial<PartPlay.PartPlayOptions> & { readonly path: string } }> = [
  { name: 'streams', options: { path: '/stream/1' } },
  { name: 'streams, with the part first in the prompt', options: { path: '/stream/1', at: 0 } },
  { name: 'streams, with a part that was sound until then', options: { path: '/stream/1', wasSound: true } },
  { name: 'streams whose callers leave', options: { path: '/stream/1', leavesAfterMs: 15 } },
  { name: 'idempotent calls', options: { path: '/read/1' } },
  { name: 'calls that run once', options: { path: '/book/1' } }
]

for (const { name, options } of FORMS) {
  describe(`different requests with a part in common that crashes each endpoint: ${name}`, () => {
    let stage: Direct.DirectStage
    let played: PartPlay.PlayedPart

    before(async () => {
      const started = await PartPlay.startPartPlay({ gatewayCount: 5, runnerCount: 14, everyMs: 200, ...options })
      stage = started.stage
      played = await started.play(2_000)
    })
    after(async () => { await stage.stop() })

    it('reach endpoints no more often than the platform allows after the fifth crash', t => {
      t.diagnostic(`${played.crashCount} crashes, ${played.lateCount} sends later than ${Crashes.STABLE_MS} ms after the fifth`)
      expect([played.crashCount > 0, played.lateCount <= Crashes.ALLOWED_COUNT]).toEqual([true, true])
    })

    it('take no sound requests with them that share their other parts', t => {
      t.diagnostic(`served ${servedShare(played.sharing).toFixed(2)} of ${played.sharing.length}, of others ${servedShare(played.others).toFixed(2)}`)
      expect([played.sharing.length >= 20, servedShare(played.sharing) >= MIN_SERVED_SHARE, servedShare(played.others) >= MIN_SERVED_SHARE]).toEqual([true, true, true])
    })

    it('are refused only where they did not run', () => {
      const ran = new Set(stage.runners.flatMap(runner => runner.ran))
      expect(played.deadly.filter(({ status, headers }) => status === 503 && ran.has(String(headers['x-fescuespread-attempt-id'])))).toEqual([])
    })
  })
}
