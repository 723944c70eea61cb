/**
 * Streams without a length, whose gateway is killed: does the part that the callers got look complete?
 */
import * as Net from 'node:net'
import * as Kit from '../kit-2.mjs'

const CALL_COUNT = 12
const EVENT_COUNT = 21
const EVENT_MS = 100
/** Time of the kill after the requests, in milliseconds: about half of each stream. */
const KILLED_AFTER_MS = 1_050
/** Route's timeout and callers' deadline, in milliseconds, as those of `return-draft`. */
const TIMEOUT_MS = 6_000

/** Sends a request on a new connection and reads until the connection ends. */
async function stream (port, id) {
  return await new Promise(resolve => {
    const socket = Net.connect({ host: '127.0.0.1', port })
    let text = ''
    let end = 'nothing'
    const timer = setTimeout(() => { socket.destroy(new Error('deadline')) }, TIMEOUT_MS)
    socket.setEncoding('utf8')
    socket.on('data', part => { text += part })
    socket.on('end', () => { end = 'orderly end of the connection' })
    socket.on('error', error => { end = error.message })
    socket.on('close', () => {
      clearTimeout(timer)
      const headEnd = text.indexOf('\r\n\r\n')
      const head = text.slice(0, headEnd).toLowerCase()
      const body = headEnd === -1 ? '' : text.slice(headEnd + 4)
      resolve({ id, end, status: Number(head.split(' ')[1] ?? 0), hasSeal: head.includes('x-fescuespread-response-seal:'), isFramed: head.includes('content-length:') || head.includes('transfer-encoding:'), body, eventCount: body.split('\n\n').length - 1, endsWithinEvent: body !== '' && !body.endsWith('\n\n') })
    })
    socket.write(Kit.headOf({ method: 'POST', path: '/draft/1', id, deadlineMs: TIMEOUT_MS, headers: { 'X-Fescuespread-Model': 'm', 'X-Fescuespread-Token-Usage': '1290,105', 'Content-Length': 6 } }) + 'prompt')
  })
}

/** Whether a caller takes an answer for a whole one, by RFC 9112: a framed body is whole with its length or last chunk, another one with the orderly end of its connection. */
const looksComplete = ({ status, hasSeal, isFramed, end, body, endsWithinEvent }) => status === 200 && hasSeal && !endsWithinEvent && (isFramed ? body.endsWith('0\r\n\r\n') : end === 'orderly end of the connection')

await Kit.run(import.meta.url, async ({ isTroubled, record, start, closes }) => {
  const store = await Kit.startStore()
  closes.push(store.close)
  store.put('op', 'config', {
    version: 1,
    routes: [{ name: 'return-draft', hostname: 'desk.example', prefix: '/draft/', route_type: 'streaming', timeout_ms: TIMEOUT_MS, latency_goal_ms: 502, gap_target_ms: 400, priority: 1, backend: 'llm', max_attempts: 2, anonymous: false, resumable: true, allowed_regions: [] }],
    backends: [Kit.ENGINE_SERVICE],
    limits: Kit.LIMITS,
    tenants: [{ name: 'member', api_keys: ['key-1'], priority: 1, allowed_regions: [] }]
  })
  const runners = []
  for (const id of ['llm-1', 'llm-2', 'llm-3']) {
    const runner = await Kit.startRunner({
      store,
      id,
      service: 'llm',
      slots: 16,
      entry: Kit.ENGINE_ENTRY,
      serve: ({ response, sealed }) => {
        // Neither a length nor chunks: the answer ends with its connection.
        response.useChunkedEncodingByDefault = false
        response.shouldKeepAlive = false
        response.writeHead(200, { 'content-type': 'text/event-stream', ...sealed })
        let count = 0
        const timer = setInterval(() => {
          response.write(`id: ${++count}\ndata: piece ${count} of ${EVENT_COUNT}\n\n`)
          if (count < EVENT_COUNT) return
          clearInterval(timer)
          response.end()
        }, EVENT_MS)
        response.once('close', () => { clearInterval(timer) })
      }
    })
    runners.push(runner)
    closes.push(runner.close)
  }
  const gateway = await start('gateway', 'gateway-1', store)
  await Kit.until('gateway ready', 15_000, gateway.isReady)
  const calls = Array.from({ length: CALL_COUNT }, async (_, at) => await stream(gateway.callers, `draft-${at}`))
  record(`${CALL_COUNT} streams requested`)
  await Kit.sleep(KILLED_AFTER_MS)
  if (isTroubled) {
    gateway.signal('SIGKILL')
    record('SIGKILL to the gateway')
  }
  const answers = await Promise.all(calls)
  let brokenCount = 0
  for (const answer of answers) {
    const runCount = runners.flatMap(runner => runner.runs).filter(run => run.attemptId === answer.id).length
    const isBroken = looksComplete(answer) && answer.eventCount < EVENT_COUNT
    if (isBroken) brokenCount++
    record(`${answer.id}: ran ${runCount} times; caller got status ${answer.status}, ${answer.eventCount} of ${EVENT_COUNT} events, framed: ${answer.isFramed}, end: ${answer.end}; looks complete: ${looksComplete(answer)}`)
  }
  record(`${brokenCount} of ${CALL_COUNT} streams ended early and look complete`)
  const wholeCount = answers.filter(answer => looksComplete(answer) && answer.eventCount === EVENT_COUNT).length
  if (!isTroubled && wholeCount < CALL_COUNT) throw new Error(`only ${wholeCount} of ${CALL_COUNT} streams were whole`)
  return brokenCount === 0
})
