// The platform sends SIGTERM to a gateway, and once more while the gateway still waits for its requests.
import * as Kit from '../kit.mjs'

const CLIENT_COUNT = 12
const WORK_MS = 1_800
const FIRST_AFTER_MS = 5_000
const SECOND_AFTER_MS = 6_000
const GRACE_MS = 8_000

await Kit.runCase(import.meta.url, async record => {
  const store = await Kit.startStore()
  store.put('op', 'config', Kit.configOf())
  const runners = [await Kit.startPlainRunner({ id: 'i-1', workMs: WORK_MS }), await Kit.startPlainRunner({ id: 'i-2', workMs: WORK_MS }), await Kit.startPlainRunner({ id: 'i-3', workMs: WORK_MS })]
  for (const runner of runners) Kit.beat(() => { Kit.listRunner(store, runner) })
  const gateway = await Kit.startGateway(store)
  await Kit.until('calls are answered', 10_000, async () => (await Kit.call(gateway.frontend, { path: '/book/1' })).status === 200)
  const startMs = performance.now()
  const term = afterMs => setTimeout(() => {
    record.note('SIGTERM')
    gateway.child.kill('SIGTERM')
  }, afterMs)
  term(FIRST_AFTER_MS)
  if (Kit.TROUBLE) term(SECOND_AFTER_MS)
  setTimeout(() => { if (gateway.exit === undefined) gateway.child.kill('SIGKILL') }, FIRST_AFTER_MS + GRACE_MS).unref()
  const answers = await Kit.keepCalling(gateway, { clientCount: CLIENT_COUNT, untilMs: startMs + FIRST_AFTER_MS + GRACE_MS + 1_000, record })
  Kit.noteRuns(record, runners)
  const ran = new Set(runners.flatMap(runner => runner.ran))
  // LOST around planned work: read whole, passed on to a runner, and the connection ended without a complete answer.
  const lost = answers.filter(answer => !answer.whole && ran.has(answer.id))
  record.note(`${answers.length} requests of ${CLIENT_COUNT} clients; ${answers.filter(answer => answer.status === 200).length} answered 200`)
  record.note(`read, passed on to a sound runner and not answered: ${lost.length} (${lost.map(answer => answer.id).join(' ')})`)
  record.note(`the gateway ${Kit.stateOf(gateway)}; ${Math.round((gateway.exit?.atMs ?? NaN) - startMs - FIRST_AFTER_MS)} ms after the first SIGTERM`)
  return lost.length > 0 ? Kit.EXIT.broken : Kit.EXIT.held
})
