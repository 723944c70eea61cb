import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Crashes from '../testkit/crashes.ts'
import * as PartModel from '../testkit/partModel.ts'

const SEED_COUNT = Number(process.env.PART_SEEDS ?? 40)
/** Smallest share of sound requests that have to be sent, as the platform requires. */
const MIN_SENT_SHARE = 0.5

describe('parts of prompts that crash endpoints, with gateways that receive each other\'s messages late or not at all', () => {
  const runs = Array.from({ length: SEED_COUNT }, (_, seed) => ({ seed, ...PartModel.play(seed) }))
  const sum = (field: 'crashCount' | 'keptBackCount' | 'soundCount'): number => runs.reduce((total, run) => total + run[field], 0)

  it('reach endpoints no more often than the platform allows', t => {
    t.diagnostic(`${SEED_COUNT} seeds, most late sends ${Math.max(...runs.map(({ lateCount }) => lateCount))}, crashes ${sum('crashCount')}`)
    expect(runs.filter(({ lateCount }) => lateCount > Crashes.ALLOWED_COUNT)).toEqual([])
  })

  it('do not keep back the sound requests that share their first part', t => {
    t.diagnostic(`smallest share sent ${Math.min(...runs.map(({ sentShare }) => sentShare)).toFixed(2)}, ${sum('keptBackCount')} of ${sum('soundCount')} sound requests kept back`)
    expect(runs.filter(({ sentShare }) => sentShare < MIN_SENT_SHARE)).toEqual([])
  })

  it('do not cause a harmless part to be locked out', () => {
    expect(runs.filter(({ lockedOut }) => lockedOut.length > 0)).toEqual([])
  })
})
