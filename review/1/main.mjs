// One answer of a runner arrives with one spoilt byte: `200` in its status line reads `000`.
import * as Kit from '../kit.mjs'

const CLIENT_COUNT = 12
const WORK_MS = 400
const PLAY_MS = 20_000
const SPOIL_AFTER_MS = 8_000
/** LOST: a machine in touch passes a request from a kept connection on to a sound runner and closes that connection without an answer, more than three times. */
const LOST_LIMIT_COUNT = 3

await Kit.runCase(import.meta.url, async record => {
  const store = await Kit.startStore()
  store.put('op', 'config', Kit.configOf())
  const startMs = performance.now()
  let spoiltCount = 0
  /** The faulty runner spoils one byte of one answer; all else that it sends is whole. */
  const spoilOnce = (request, response, common) => {
    if (!Kit.TROUBLE || spoiltCount > 0 || performance.now() - startMs < SPOIL_AFTER_MS) return false
    spoiltCount++
    const id = common['X-Fescuespread-Attempt-Id']
    record.note(`runner i-faulty spoils its answer to ${id}`)
    const body = `${id} `.padEnd(800, 'x')
    const head = ['HTTP/1.1 000 OK', `X-Fescuespread-Attempt-Id: ${id}`, 'X-Fescuespread-Response-Seal: seal.i-faulty', `Content-Length: ${body.length}`].join('\r\n')
    setTimeout(() => { request.socket.write(`${head}\r\n\r\n${body}`) }, WORK_MS)
    return true
  }
  const faulty = await Kit.startPlainRunner({ id: 'i-faulty', workMs: WORK_MS, respond: spoilOnce })
  const sound = [await Kit.startPlainRunner({ id: 'i-1', workMs: WORK_MS }), await Kit.startPlainRunner({ id: 'i-2', workMs: WORK_MS })]
  for (const runner of [faulty, ...sound]) Kit.beat(() => { Kit.listRunner(store, runner) })
  const gateway = await Kit.startGateway(store)
  await Kit.until('calls are answered', 10_000, async () => (await Kit.call(gateway.frontend, { path: '/book/1' })).status === 200)

  const answers = await Kit.keepCalling(gateway, { clientCount: CLIENT_COUNT, untilMs: startMs + PLAY_MS, record })
  Kit.noteRuns(record, [faulty, ...sound])
  const ranAtSound = new Set(sound.flatMap(runner => runner.ran))
  const lost = answers.filter(answer => answer.status === 0 && ranAtSound.has(answer.id))
  record.note(`${answers.length} requests of ${CLIENT_COUNT} clients on kept connections; ${answers.filter(answer => answer.status === 200).length} answered 200; spoilt answers: ${spoiltCount}`)
  record.note(`passed on to a sound runner and closed without an answer: ${lost.length} (${lost.map(answer => answer.id).join(' ')})`)
  record.note(`the gateway ${Kit.stateOf(gateway)}`)
  if (Kit.TROUBLE && spoiltCount === 0) return Kit.EXIT.notRun
  return gateway.exit !== undefined || lost.length > LOST_LIMIT_COUNT ? Kit.EXIT.broken : Kit.EXIT.held
})
