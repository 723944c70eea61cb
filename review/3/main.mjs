// One byte of one manifest of the origin of weights is spoilt: it names the next version. Then the operator names that version.
import * as Kit from '../kit.mjs'

const RUNNER_COUNT = 3
const CLIENT_COUNT = 6
const NAMED_AFTER_MS = 8_000
const PLAY_MS = 32_000
const DEADLINE_MS = 6_032

await Kit.runCase(import.meta.url, async record => {
  const store = await Kit.startStore()
  let spoiltCount = 0
  /** The origin spoils one byte of the first manifest that it hands out. */
  const spoil = text => {
    if (!Kit.TROUBLE || spoiltCount > 0) return text
    spoiltCount++
    record.note('the origin spoils one byte of a manifest: "version":1 reads "version":2')
    return text.replace('"version":1', '"version":2')
  }
  const origin = await Kit.startOrigin({ spoil })
  const config = Kit.configOf()
  store.put('op', 'config', { ...config, backends: config.backends.map(backend => backend.name === 'llm' ? { ...backend, origin: `${Kit.HOST}:${origin.port}` } : backend) })
  const models = []
  for (let at = 0; at < RUNNER_COUNT; at++) models.push(await Kit.startModelRunner(store, `llm-${at}`))
  const agents = await Promise.all(models.map(async (runner, at) => await Kit.startAgent(store, runner, `side-kartli-a-${at + 1}`)))
  const gateway = await Kit.startGateway(store)
  await Kit.until('streams are answered', 10_000, async () => (await Kit.call(gateway.frontend, { path: '/draft/1', deadlineMs: DEADLINE_MS })).whole === true)

  const startMs = performance.now()
  setTimeout(() => {
    store.put('op', 'version/m', { model: 'm', version: 2 })
    record.note('version 2 of the weights is named')
  }, NAMED_AFTER_MS)
  const answers = []
  const runClient = async at => {
    for (let count = 0; performance.now() - startMs < PLAY_MS; count++) {
      const answer = await Kit.call(gateway.frontend, { path: '/draft/1', id: `client-${at}-${count}`, deadlineMs: DEADLINE_MS, body: `prompt ${at} ${count}` })
      answers.push(answer)
      record.note(`${answer.id} ${answer.status}${answer.whole ? '' : ' not whole'} version ${answer.headers['x-fescuespread-weight-versions']}`)
      await Kit.sleep(200)
    }
  }
  await Promise.all(Array.from({ length: CLIENT_COUNT }, async (_, at) => { await runClient(at) }))

  for (const [at, { loads }] of models.entries()) {
    for (const { version, wrongCount, eventCount } of loads) record.note(`runner ${at + 1} was ordered to load version ${version}: ${wrongCount} of ${Kit.ENGINE.chunks} pieces that it took are of another version; events made with it: ${eventCount}`)
    if (loads.length === 0) record.note(`runner ${at + 1} got no order`)
  }
  for (const program of [gateway, ...agents]) record.note(`a program ${Kit.stateOf(program)}`)
  record.note(`${answers.length} requests, ${answers.filter(answer => answer.whole && answer.status === 200).length} answered 200; answers of the origin: ${origin.answerCount}, spoilt: ${spoiltCount}`)
  if (Kit.TROUBLE && spoiltCount === 0) return Kit.EXIT.notRun
  // WHOLE: a token is made with a layer that was taken while one of its pieces was of another version.
  const wrongEventCount = models.flatMap(({ loads }) => loads).reduce((sum, { wrongCount, eventCount }) => sum + (wrongCount > 0 ? eventCount : 0), 0)
  record.note(`events made with pieces of another version: ${wrongEventCount}`)
  return wrongEventCount > 0 ? Kit.EXIT.broken : Kit.EXIT.held
})
