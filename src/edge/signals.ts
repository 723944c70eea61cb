/**
 * Signals of operators. Import this module before all others: until a signal has a listener, Node's default ends the process.
 *
 * @packageDocumentation
 */

/** What signals do. */
export interface SignalHandlers {
  /** Reads the settings again, on SIGHUP. */
  readonly onReload: () => void
  /** Stops the process, on the first SIGTERM. */
  readonly onStop: () => void
  /** Called on each further SIGTERM: the stop is under way, and ending it early would cut requests in flight. */
  readonly onStopRepeated: () => void
}

/** A process that has not begun to serve reads its settings in any case, and can end at once. */
let handlers: SignalHandlers = { onReload: () => {}, onStop: () => { process.exit(0) }, onStopRepeated: () => {} }
let isStopping = false

process.on('SIGHUP', () => { handlers.onReload() })
process.on('SIGTERM', () => {
  if (isStopping) { handlers.onStopRepeated(); return }
  isStopping = true
  handlers.onStop()
})

/**
 * Sets what signals do once the process serves.
 *
 * @param next - The handlers.
 */
export function handle (next: SignalHandlers): void {
  handlers = next
}
