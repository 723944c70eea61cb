/**
 * Waiting for conditions on real processes.
 *
 * @packageDocumentation
 */

const STEP_MS = 20

/**
 * Waits for a time.
 *
 * @param delayMs - The time in milliseconds.
 */
export async function sleep (delayMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, delayMs))
}

/**
 * Waits until a condition holds.
 *
 * @param what - Names the condition in the error.
 * @param limitMs - The longest wait in milliseconds.
 * @param holds - The condition; an error counts as not yet.
 * @returns The time waited in milliseconds.
 * @throws When the condition does not hold in time.
 */
export async function until (what: string, limitMs: number, holds: () => boolean | Promise<boolean>): Promise<number> {
  const startedMs = performance.now()
  for (;;) {
    if (await Promise.resolve().then(holds).catch(() => false)) return performance.now() - startedMs
    if (performance.now() - startedMs > limitMs) throw new Error(`not within ${limitMs} ms: ${what}`)
    await sleep(STEP_MS)
  }
}
