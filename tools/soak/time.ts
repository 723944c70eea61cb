/**
 * Virtual time: timers of the code under test run as fast as the machine allows.
 *
 * @packageDocumentation
 */
import * as FakeTimers from '@sinonjs/fake-timers'

/** Virtual time of one run. */
export interface VirtualTime {
  nowMs: () => number
  /** Runs a function after a virtual delay. */
  after: (delayMs: number, work: () => void) => void
  sleep: (delayMs: number) => Promise<void>
  /** Runs everything that is due until a moment. */
  runUntil: (untilMs: number) => Promise<void>
  /** Gives the process its own timers back. */
  close: () => void
}

/**
 * Puts virtual timers in place of the process's own.
 *
 * @returns The virtual time, at zero; close it at the end of the run.
 */
export function installVirtualTime (): VirtualTime {
  const clock = FakeTimers.install({ now: 0, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
  const after = (delayMs: number, work: () => void): void => { clock.setTimeout(work, Math.max(0, delayMs)) }
  return {
    nowMs: () => clock.now,
    after,
    sleep: async delayMs => { await new Promise<void>(resolve => { after(delayMs, resolve) }) },
    runUntil: async untilMs => {
      after(untilMs - clock.now, () => {})
      while (clock.now < untilMs) {
        clock.next()
        await settlePromises()
      }
    },
    close: () => { clock.uninstall() }
  }
}

/** Lets every promise that can settle do so. */
async function settlePromises (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}
