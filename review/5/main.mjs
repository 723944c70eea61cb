// All runners of a language model crash three times while the same sessions, whose prompts have many parts, are in flight there.
import * as Http from 'node:http'
import * as Kit from '../kit.mjs'

const RUNNER_COUNT = 4
const SESSION_COUNT = RUNNER_COUNT * Kit.ENGINE.slots
/** Parts of each session's prompt: a conversation of sixteen turns. */
const PART_COUNT = 32
const PART_TOKENS = 50
const CRASH_COUNT = 3
const DOWN_MS = 3_000
const CRASH_AFTER_MS = 700
const DEADLINE_MS = 6_032
const CALM_MS = 20_000
const PLAY_LIMIT_MS = 70_000
/** Ordinary clients of a sound service at each gateway. */
const READER_COUNT = 12
const READ_PAUSE_MS = 50
/** CONFIG: of the requests that are still unanswered at their route's `timeout_ms`, more than half have no answer half a second later. */
const TIMEOUT_MS = 2_500
const ANSWER_SLACK_MS = 500
const MIN_UNANSWERED_COUNT = 8

await Kit.runCase(import.meta.url, async record => {
  const store = await Kit.startStore()
  const origin = await Kit.startOrigin()
  const config = Kit.configOf()
  store.put('op', 'config', { ...config, backends: config.backends.map(backend => backend.name === 'llm' ? { ...backend, origin: `${Kit.HOST}:${origin.port}` } : backend) })
  const plain = [await Kit.startPlainRunner({ id: 'i-1' }), await Kit.startPlainRunner({ id: 'i-2' })]
  for (const runner of plain) Kit.beat(() => { Kit.listRunner(store, runner) })
  const models = []
  for (let at = 0; at < RUNNER_COUNT; at++) models.push(await Kit.startModelRunner(store, `llm-${at}`))
  const agents = await Promise.all(models.map(async (runner, at) => await Kit.startAgent(store, runner, `side-kartli-a-${at + 1}`)))
  /** The sessions are at the first gateway; the second one has ordinary clients only. */
  const gateways = [await Kit.startGateway(store), await Kit.startGateway(store, { name: 'edge-kartli-a-2' })]
  const [gateway] = gateways
  for (const each of gateways) await Kit.until('plain calls are answered', 10_000, async () => (await Kit.call(each.frontend)).status === 200)
  await Kit.until('streams are answered', 10_000, async () => (await Kit.call(gateway.frontend, { path: '/draft/1', deadlineMs: DEADLINE_MS })).whole === true)

  const play = { isOver: false }
  /** A session sends its next request when the last one has ended; after a refusal it waits as told. */
  const runSession = async at => {
    const history = Array.from({ length: PART_COUNT - 1 }, (_, part) => `${(0xa000 + at).toString(16)}${part.toString(16).padStart(4, '0')}:${PART_TOKENS}`)
    for (let count = 0; !play.isOver; count++) {
      const parts = [...history, `${(0xb0000000 + at * 4_096 + count).toString(16)}:${PART_TOKENS}`]
      const answer = await Kit.call(gateway.frontend, { path: '/draft/1', id: `session-${at}-${count}`, deadlineMs: DEADLINE_MS, body: `turn ${at} ${count}`, headers: { 'X-Fescuespread-Token-Usage': `${PART_COUNT * PART_TOKENS},105`, 'X-Fescuespread-Prefix-Hash': parts.join(',') } })
      record.note(`${answer.id} ${answer.status === 0 ? `no answer (${answer.error})` : answer.status}${answer.whole ? '' : ' not whole'} after ${Math.round(answer.endedAtMs - answer.sentAtMs)} ms`)
      await Kit.sleep(Math.max(100, Number(answer.headers['retry-after'] ?? 0) * 1_000))
    }
  }
  const reads = gateways.map(() => [])
  /** An ordinary client of a sound service, on a kept connection. */
  const runReader = async (at, of) => {
    const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 })
    for (let count = 0; !play.isOver; count++) {
      const answer = await Kit.call(gateways[of].frontend, { path: '/read/1', agent, id: `read-${of}-${at}-${count}`, deadlineMs: TIMEOUT_MS })
      reads[of].push(answer)
      const tookMs = Math.round(answer.endedAtMs - answer.sentAtMs)
      if (answer.status !== 200 || tookMs > 1_000) record.note(`${answer.id} ${answer.status === 0 ? `no answer (${answer.error})` : answer.status} after ${tookMs} ms`)
      await Kit.sleep(READ_PAUSE_MS)
    }
    agent.destroy()
  }
  const probes = gateways.map(() => [])
  const runProbes = async of => {
    while (!play.isOver) {
      probes[of].push(await Kit.isReady(gateways[of].ready))
      await Kit.sleep(1_000)
    }
  }
  const clients = Array.from({ length: SESSION_COUNT }, (_, at) => runSession(at))
  for (const of of gateways.keys()) clients.push(...Array.from({ length: READER_COUNT }, (_, at) => runReader(at, of)), runProbes(of))

  const inFlightCount = () => models.reduce((sum, { activeCount }) => sum + activeCount, 0)
  const startMs = performance.now()
  if (!Kit.TROUBLE) await Kit.sleep(CALM_MS)
  for (let count = 0; Kit.TROUBLE && count < CRASH_COUNT; count++) {
    await Kit.until('the sessions are in flight', PLAY_LIMIT_MS - (performance.now() - startMs), () => inFlightCount() >= SESSION_COUNT * 0.8)
    await Kit.sleep(CRASH_AFTER_MS)
    record.note(`all ${RUNNER_COUNT} runners crash, ${inFlightCount()} requests in flight`)
    const restarts = Promise.all(models.map(async runner => { await runner.crash(DOWN_MS) }))
    await (count < CRASH_COUNT - 1 ? restarts : Promise.race([restarts, Kit.sleep(0)]))
  }
  if (Kit.TROUBLE) {
    await Kit.sleep(8_000)
    for (const each of gateways) await Kit.until('the gateways answer again', 60_000, async () => await Kit.isReady(each.ready))
  }
  play.isOver = true
  await Promise.all(clients)

  let isBroken = false
  const tookMs = read => read.endedAtMs - read.sentAtMs
  for (const [of, own] of reads.entries()) {
    const unanswered = own.filter(read => tookMs(read) > TIMEOUT_MS)
    const held = unanswered.filter(read => tookMs(read) > TIMEOUT_MS + ANSWER_SLACK_MS)
    isBroken ||= held.length >= MIN_UNANSWERED_COUNT && held.length > unanswered.length / 2
    record.note(`gateway ${of + 1}: ${own.length} requests to the sound service; ${own.filter(read => read.status === 200).length} answered 200; the longest took ${Math.round(Math.max(...own.map(tookMs)))} ms; still unanswered at timeout_ms: ${unanswered.length}; of these without an answer half a second later: ${held.length}; probes of readiness not answered 200: ${probes[of].filter(ready => !ready).length} of ${probes[of].length}`)
  }
  Kit.noteRuns(record, [...plain, ...models])
  for (const program of [...gateways, ...agents]) record.note(`a program ${Kit.stateOf(program)}`)
  return isBroken ? Kit.EXIT.broken : Kit.EXIT.held
})
