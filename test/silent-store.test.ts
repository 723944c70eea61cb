import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Neverthrow from 'neverthrow'
import * as Core from '../src/core/index.ts'
import * as Follow from '../src/follow/index.ts'
import * as TestKit from '../testkit/index.ts'

const TIMEOUT_MS = 5_000
const WAIT_MS = 8_000
/** Longest wait of a read with which a return of the store is noticed before operators have written twice, in milliseconds. */
const WAIT_LIMIT_MS = 1_000
const READ_COUNT = 4

describe('a follower whose reads the store leaves without an answer', () => {
  it('asks with short waits until it answers again, and then with long ones', async () => {
    const waitsMs: number[] = []
    let isSilent = true
    const page = { rows: [], revision: 1 }
    const follower = Follow.Follower.createFollower({
      table: 't',
      store: {
        readAll: async () => Neverthrow.ok(page),
        readSince: async (_table, _revision, waitMs) => {
          waitsMs.push(waitMs)
          await TestKit.Wait.sleep(1)
          return isSilent ? Neverthrow.err({ kind: 'silent', reason: 'timed out' }) : Neverthrow.ok(page)
        },
        write: async () => Neverthrow.ok(0),
        remove: async () => Neverthrow.ok(0)
      },
      askPeer: async () => undefined,
      waitMs: () => WAIT_MS,
      clock: () => performance.now(),
      storeClock: Follow.StoreClock.createStoreClock(() => performance.now()),
      readings: Follow.Readings.createReadings(),
      random: Core.Random.createRandom(1),
      onRows: () => {},
      log: () => {}
    })
    await TestKit.Wait.until('several reads', TIMEOUT_MS, () => waitsMs.length >= READ_COUNT)
    isSilent = false
    const silentCount = waitsMs.length
    await TestKit.Wait.until('reads after the return', TIMEOUT_MS, () => waitsMs.length >= silentCount + READ_COUNT)
    follower.stop()
    expect([Math.max(...waitsMs.slice(1, silentCount)) <= WAIT_LIMIT_MS, Math.min(...waitsMs.slice(-2)) >= WAIT_MS / 2]).toEqual([true, true])
  })
})
