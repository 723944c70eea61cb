// Stand-ins and helpers for the scripts of this review: the platform's store, runners, settings, processes, clients.
// Everything listens on loopback. No dependencies, no build step.
import * as ChildProcess from 'node:child_process'
import * as Crypto from 'node:crypto'
import * as Fs from 'node:fs'
import * as Http from 'node:http'
import * as Net from 'node:net'
import * as Os from 'node:os'
import * as Path from 'node:path'
import * as Url from 'node:url'

export const HOST = '127.0.0.1'
export const EXIT = { broken: 1, held: 0, notRun: 2 }
export const TROUBLE = process.env.TROUBLE !== '0'

const ROOT = Path.resolve(Url.fileURLToPath(import.meta.url), '../..')
const closers = []

export const sleep = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

export async function until (what, limitMs, check) {
  const endMs = performance.now() + limitMs
  for (;;) {
    if (await check()) return
    if (performance.now() > endMs) throw new Error(`not in time: ${what}`)
    await sleep(25)
  }
}

export async function freePort () {
  const server = Net.createServer()
  await new Promise(resolve => { server.listen(0, HOST, resolve) })
  const { port } = server.address()
  await new Promise(resolve => { server.close(resolve) })
  return port
}

/** Collects the lines of record.txt. */
export function createRecord (folder) {
  const startMs = performance.now()
  const lines = []
  return {
    note: text => { lines.push(`${((performance.now() - startMs) / 1000).toFixed(3)} ${text}`) },
    save: () => { Fs.writeFileSync(Path.join(folder, 'record.txt'), `${lines.join('\n')}\n`) }
  }
}

/**
 * Runs a case, ends everything that it started, and exits with its result.
 * The case is named by its module's address.
 */
export async function runCase (moduleUrl, play) {
  const folder = Path.dirname(Url.fileURLToPath(moduleUrl))
  const record = createRecord(folder)
  let code = EXIT.notRun
  const limit = setTimeout(() => { record.note('the case took too long'); finish().catch(() => {}) }, 115_000)
  const finish = async () => {
    clearTimeout(limit)
    for (const close of closers.reverse()) await Promise.resolve(close()).catch(() => {})
    record.note(`result ${code}`)
    record.save()
    process.stdout.write(`${Path.basename(folder)}: ${{ 0: 'held', 1: 'broken', 2: 'could not run' }[code]}\n`)
    process.exit(code)
  }
  try {
    code = await play(record)
  } catch (error) {
    record.note(`could not run: ${error.stack}`)
  }
  await finish()
}

/** The platform's store: rows, feeds and transactions, with a steady clock and a version counter. */
export async function startStore () {
  const rows = new Map()
  const waiting = new Set()
  let version = 1
  const set = (table, key, value, deleted = false) => {
    version++
    rows.set(`${table}/${key}`, { table, part: '', key, schema_version: version, ...(deleted ? { deleted } : { value }) })
    for (const wake of [...waiting]) wake()
  }
  const live = table => [...rows.values()].filter(row => row.table === table && !row.deleted).sort((a, b) => a.key < b.key ? -1 : 1)
  const server = Http.createServer((request, response) => {
    const url = new URL(request.url, 'http://store')
    const parts = []
    const answer = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ ...body, schema_version: version, now_ms: performance.now() }))
    }
    request.on('data', part => { parts.push(part) })
    request.on('end', () => {
      const table = url.searchParams.get('table')
      if (url.pathname === '/rows-get') { answer(200, { rows: live(table), has_more: false }); return }
      if (url.pathname === '/rows-feed') {
        const after = Number(url.searchParams.get('after_revision'))
        const changed = () => [...rows.values()].filter(row => row.table === table && row.schema_version > after).sort((a, b) => a.schema_version - b.schema_version)
        const end = () => { clearTimeout(timer); waiting.delete(wake); answer(200, { rows: changed() }) }
        const wake = () => { if (changed().length > 0) end() }
        const timer = setTimeout(end, Number(url.searchParams.get('wait_ms') ?? 0))
        waiting.add(wake)
        wake()
        return
      }
      if (url.pathname !== '/rows-tx') { answer(404, {}); return }
      const { precondition = [], write = [], remove = [] } = JSON.parse(Buffer.concat(parts).toString())
      const found = precondition.map(({ table, key }) => rows.get(`${table}/${key}`)).map(row => row?.deleted ? undefined : row)
      if (precondition.some((row, at) => row.schema_version !== (found[at]?.schema_version ?? 0))) { answer(412, { rows: found.filter(row => row !== undefined) }); return }
      for (const { table, key, value } of write) set(table, key, value)
      for (const { table, key } of remove) set(table, key, undefined, true)
      answer(200, {})
    })
  })
  await listen(server)
  return {
    port: server.address().port,
    put: (table, key, value) => { set(table, key, Buffer.from(JSON.stringify(value)).toString('base64')) },
    drop: (table, key) => { set(table, key, undefined, true) },
    rows: table => live(table).map(row => ({ key: row.key, value: JSON.parse(Buffer.from(row.value, 'base64').toString()) }))
  }
}

export async function listen (server, port = 0) {
  const sockets = new Set()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => { sockets.delete(socket) })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, HOST, resolve)
  })
  closers.push(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
}

export const ENGINE = { slots: 16, stride: 5, step_ms: 8.87, per_seq_ms: 0.0388, context_per_k: 0.0227, read_per_s: 19100, pairs_per_m: 1.47, chunk: 2048, usual: { prompt: 977, answer: 94 }, layers: 16, chunks: 64, models: [{ name: 'm' }] }
const ROUTE = { hostname: 'h.example', priority: 1, anonymous: false, allowed_regions: [] }

/** A configuration like that of a small deployment: two plain routes and one of streams. */
export function configOf (changes = {}) {
  return {
    version: 1,
    routes: [
      { ...ROUTE, name: 'read', prefix: '/read/', route_type: 'idempotent', timeout_ms: 2500, latency_goal_ms: 195, backend: 'plain', max_attempts: 2 },
      { ...ROUTE, name: 'book', prefix: '/book/', route_type: 'non_idempotent', timeout_ms: 2500, latency_goal_ms: 196, backend: 'plain', max_attempts: 1 },
      { ...ROUTE, name: 'draft', prefix: '/draft/', route_type: 'streaming', timeout_ms: 6000, latency_goal_ms: 503, gap_target_ms: 400, resumable: true, backend: 'llm', max_attempts: 2 }
    ],
    backends: [
      { name: 'plain', health_path: '/healthz', max_connections: 110, cold_start_s: 0, cold_per_s: 0 },
      { name: 'llm', health_path: '/healthz', max_connections: 434, cold_start_s: 3, cold_per_s: 36, engine: ENGINE }
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'member-1', api_keys: ['key-1'], priority: 1, allowed_regions: [] }],
    ...changes
  }
}

/** Settings as the platform writes them for a machine of a small deployment. */
export function settingsOf ({ name, kind, port, frontend, ready, app, backend, store, zone = 'kartli-a', memoryMb }) {
  const zones = { 'kartli-a': 'kartli', 'imereti-a': 'imereti', 'adjara-a': 'adjara' }
  return `node_name = "${name}"
role = "${kind === 'edge' ? 'gateway' : 'agent'}"
machine_class = "${kind}"
serves = ["${kind}"]
ip = "${HOST}"
zone = "${zone}"
region = "${zones[zone]}"
internal_ports = [${port}, ${port}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","chunks"]
${app === undefined ? '' : `app = "${HOST}:${app}"\nbackend = "${backend}"\n`}
[zones]
${Object.entries(zones).map(([each, region]) => `${each} = "${region}"`).join('\n')}
[listen]
${kind === 'edge' ? `frontend = "${HOST}:${frontend}"\nready = "${HOST}:${ready}"` : ''}
[limits]
cpu_share = ${kind === 'edge' ? 0.513 : 0.81}
cores = 1
memory_mb = ${memoryMb ?? (kind === 'edge' ? 350 : 218)}
max_fds = ${kind === 'edge' ? 4100 : 1494}
link_mbps = ${kind === 'edge' ? '1000.0' : '5.32'}
disk_mb = 0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 106
version_ms = 8000
[platform]
address = "${HOST}:${store}"
form = "table"
`
}

/** Tells whether a program still runs, or how it ended. */
export function stateOf (program) {
  if (program.exit === undefined) return 'runs on'
  const errors = program.errors.split('\n').filter(line => line.trim() !== '' && !/^\s*\d+: 0x/.test(line))
  return `ended by itself, code ${program.exit.code}, signal ${program.exit.signal}: ${errors.slice(-12).join(' | ').slice(0, 1_500)}`
}

/** Starts a role with the command of the deploy file. */
export async function startProgram (role, settings) {
  const deploy = Fs.readFileSync(Path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const run = new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(deploy)?.[1]
  if (run === undefined) throw new Error(`no command for ${role}`)
  const folder = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'review-'))
  const file = Path.join(folder, 'node.toml')
  Fs.writeFileSync(file, settings)
  const [command, ...args] = run.split(' ')
  const program = { child: undefined, lines: [], errors: '', exit: undefined }
  const child = ChildProcess.spawn(command === 'node' ? process.execPath : command, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, FESCUESPREAD_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  program.child = child
  let rest = ''
  child.stdout.on('data', bytes => {
    const lines = (rest + bytes.toString()).split('\n')
    rest = lines.pop()
    for (const line of lines) {
      program.lines.push(line)
      if (program.lines.length > 20_000) program.lines.shift()
    }
  })
  child.stderr.on('data', bytes => { program.errors = (program.errors + bytes.toString()).replaceAll(ROOT + Path.sep, '').slice(0, 20_000) })
  program.ended = new Promise(resolve => {
    child.once('exit', (code, signal) => {
      program.exit = { code, signal, atMs: performance.now() }
      resolve(program.exit)
    })
  })
  closers.push(async () => {
    if (program.exit === undefined) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await program.ended
    }
    Fs.rmSync(folder, { recursive: true, force: true })
  })
  return program
}

export async function startGateway (store, changes = {}) {
  const [port, frontend, ready] = [await freePort(), await freePort(), await freePort()]
  const program = await startProgram('gateway', settingsOf({ name: 'edge-kartli-a-1', kind: 'edge', port, frontend, ready, store: store.port, ...changes }))
  const gateway = Object.assign(program, { port, frontend, ready })
  await until('the gateway is ready', 15_000, async () => program.exit !== undefined || (await isReady(ready)))
  if (program.exit !== undefined) throw new Error(`the gateway ended: ${program.errors}`)
  return gateway
}

export async function isReady (port) {
  return await new Promise(resolve => {
    const request = Http.get({ host: HOST, port, path: '/readyz', agent: false, timeout: 1_000 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('error', () => { resolve(false) })
    request.on('timeout', () => { request.destroy(); resolve(false) })
  })
}

let callCount = 0

/** Sends one request as a client does, and tells how it ended. */
export async function call (port, { path = '/read/1', method = 'POST', body = 'body', deadlineMs = 2_500, headers = {}, agent = false, id = `call-${++callCount}`, stream = path.startsWith('/draft/') } = {}) {
  return await new Promise(resolve => {
    const sentAtMs = performance.now()
    const parts = []
    let answer
    const finish = (whole, error) => {
      resolve({ id, status: answer?.statusCode ?? 0, headers: answer?.headers ?? {}, text: Buffer.concat(parts).toString('latin1'), whole, error, sentAtMs, endedAtMs: performance.now() })
    }
    const request = Http.request({ host: HOST, port, method, path, agent, headers: { host: 'h.example', authorization: 'Bearer key-1', 'X-Fescuespread-Attempt-Id': id, 'X-Fescuespread-Deadline-Ms': String(deadlineMs), ...(stream ? { 'X-Fescuespread-Model': 'm', 'X-Fescuespread-Token-Usage': '100,100', 'X-Fescuespread-Prefix-Hash': `${id.length}:40,ff${callCount}:60` } : {}), ...headers } }, response => {
      answer = response
      response.on('data', part => { parts.push(part) })
      response.on('error', error => { finish(false, error.code) })
      response.on('end', () => { finish(response.complete) })
    })
    request.on('error', error => { finish(false, error.code) })
    request.end(body)
  })
}

/** A plain runner that follows the pages; `respond` may take a request over and return true. */
export async function startPlainRunner ({ id, workMs = 40, respond = () => false, bytes = 800 }) {
  const ran = []
  const server = Http.createServer({ keepAliveTimeout: 20_000, maxHeaderSize: 32_768 }, (request, response) => {
    request.resume()
    request.on('end', () => {
      const attempt = String(request.headers['x-fescuespread-attempt-id'] ?? '')
      const common = { 'X-Fescuespread-Attempt-Id': attempt, 'X-Fescuespread-Instance-Id': id }
      if (request.url.startsWith('/healthz')) { response.writeHead(200, common).end('ok'); return }
      const expected = request.headers['x-fescuespread-expect-instance']
      if (expected !== undefined && expected !== id) { response.writeHead(421, common).end(); return }
      ran.push(attempt)
      if (respond(request, response, common)) return
      setTimeout(() => { response.writeHead(200, { ...common, 'X-Fescuespread-Response-Seal': `seal.${id}` }).end(`${attempt} `.padEnd(bytes, 'x')) }, workMs)
    })
  })
  await listen(server)
  return { id, port: server.address().port, ran }
}

export function listRunner (store, runner, changes = {}) {
  store.put('servers', runner.id, { backend: 'plain', address: `${HOST}:${runner.port}`, zone: 'kartli-a', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1_700_000_000_000, ...changes })
}

/** Chunks of the first versions of the weights. */
const CHUNK_BYTES = 32_768
const CHUNKS = new Map([1, 2].map(version => [version, Array.from({ length: ENGINE.chunks }, (_, at) => Buffer.alloc(CHUNK_BYTES, `${version}/${at}/`))]))

/** The origin of weights; `spoil` may change the text of a manifest. */
export async function startOrigin ({ spoil = text => text } = {}) {
  const origin = { port: 0, answerCount: 0 }
  const server = Http.createServer((request, response) => {
    origin.answerCount++
    const url = new URL(request.url, 'http://origin')
    const version = Number(url.searchParams.get('version') ?? 1)
    const chunks = CHUNKS.get(version) ?? []
    if (url.pathname.startsWith('/piece/')) { response.end(chunks[Number(url.searchParams.get('sample_count'))]); return }
    const digests = chunks.map(chunk => Crypto.createHash('sha256').update(chunk).digest('hex'))
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(spoil(JSON.stringify({ model: 'm', version, chunk_bytes: CHUNK_BYTES, layers: ENGINE.layers, digests })))
  })
  await listen(server)
  return Object.assign(origin, { port: server.address().port })
}

/** Time between two events of a stream, and how much longer it is while a runner has just started. */
const EVENT_MS = 50
const STARTED_FACTOR = 3
const STARTED_MS = 6_000
const EVENT_COUNT = 21
const QUEUE_COUNT = 4
const LOAD_MS = 500
/** An entry is removed after three heartbeat intervals of silence. */
const EXPIRY_MS = 3_600

/**
 * A model runner that follows the pages: streams, staged chunks, orders and reports. It holds version 1 when the play begins.
 * After a crash it is back at its address as another incarnation without layers; what is staged survives.
 */
export async function startModelRunner (store, name) {
  /** `loads` has an entry for each load: its version and how many of the chunks that it took are of another one; `eventCount` counts the events made with it. */
  const runner = { id: '', ran: [], port: await freePort(), activeCount: 0, crash: undefined, loads: [] }
  const staged = new Map(CHUNKS.get(1).entries())
  let startCount = 0
  const start = async () => {
    const isFirst = startCount++ === 0
    const id = `i-${name}-${startCount}`
    const born = Date.now()
    const startedMs = performance.now()
    const state = { load: isFirst ? { version: 1, wrongCount: 0, eventCount: 0 } : undefined, busy: false, sequence: 0, queue: [], sockets: new Set(), isUp: true }
    runner.id = id
    runner.activeCount = 0
    const models = () => state.load !== undefined ? [{ name: 'm', version: state.load.version, adapters: [] }] : []
    const layers = () => state.load !== undefined ? { layers: { from: 0, target: ENGINE.layers, version: state.load.version } } : {}
    const list = () => {
      if (state.isUp) store.put('servers', id, { backend: 'llm', address: `${HOST}:${runner.port}`, zone: 'kartli-a', version: 'v1', slots: ENGINE.slots, state: 'ready', cold_remaining_ms: isFirst ? 0 : Math.max(0, Math.round(startedMs + 3_000 - performance.now())), sequence: state.sequence, born, phase: 'colocated', models: models(), ...layers() })
    }
    const json = (response, status, value) => {
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(JSON.stringify(value))
    }
    /** Takes the staged chunks as they are now, and loads them once what is running has ended. */
    const startLoad = ({ version }) => {
      if (state.busy) return 409
      if (state.load?.version === version) return 200
      state.busy = true
      state.sequence++
      const load = { version, wrongCount: CHUNKS.get(version).filter((chunk, at) => staged.get(at)?.equals(chunk) !== true).length, eventCount: 0 }
      runner.loads.push(load)
      const finish = () => {
        if (!state.isUp) return
        if (runner.activeCount > 0) { setTimeout(finish, EVENT_MS); return }
        setTimeout(() => {
          state.busy = false
          state.load = load
          list()
        }, LOAD_MS)
      }
      finish()
      return 202
    }
    const runNext = () => {
      while (state.isUp && runner.activeCount < ENGINE.slots && state.queue.length > 0) state.queue.shift()()
    }
    const stream = (request, response, attempt, common) => {
      runner.ran.push(attempt)
      runner.activeCount++
      const { load } = state
      let at = Number(request.headers['last-event-id'] ?? 0)
      response.writeHead(200, { ...common, 'content-type': 'text/event-stream', 'X-Fescuespread-Response-Seal': `seal.${id}`, 'X-Fescuespread-Weight-Versions': String(load.version) })
      const write = () => {
        at++
        load.eventCount++
        response.write(`id: ${at}\ndata: ${'word '.repeat(5)}\n\n`)
        if (at >= EVENT_COUNT) { response.end(); return }
        timer = setTimeout(write, EVENT_MS * (!isFirst && performance.now() - startedMs < STARTED_MS ? STARTED_FACTOR : 1))
      }
      let timer = setTimeout(write, EVENT_MS)
      response.once('close', () => {
        clearTimeout(timer)
        if (!state.isUp) return
        runner.activeCount--
        runNext()
      })
    }
    const server = Http.createServer({ keepAliveTimeout: 20_000, maxHeaderSize: 32_768 }, (request, response) => {
      const url = new URL(request.url, 'http://runner')
      const parts = []
      request.on('data', part => { parts.push(part) })
      request.on('end', () => {
        const index = url.searchParams.get('sample_count')
        if (url.pathname === '/report') { json(response, 200, { phase: 'colocated', models: models(), ...layers(), busy: state.busy, sequence: state.sequence, queued: state.queue.length, active: runner.activeCount, kv_used: 0, kv_total: 1_180_000, cache_handles: 0, pace: 1, born }); return }
        if (url.pathname.startsWith('/stage-get/')) {
          if (index === null) json(response, 200, { held: [...staged.keys()], born })
          else if (staged.has(Number(index))) response.end(staged.get(Number(index)))
          else json(response, 404, {})
          return
        }
        if (url.pathname.startsWith('/stage-put/')) {
          staged.set(Number(index), Buffer.concat(parts))
          json(response, 200, {})
          return
        }
        if (url.pathname === '/order') { json(response, startLoad(JSON.parse(Buffer.concat(parts).toString())), {}); return }
        const attempt = String(request.headers['x-fescuespread-attempt-id'] ?? '')
        const common = { 'X-Fescuespread-Attempt-Id': attempt, 'X-Fescuespread-Instance-Id': id, 'X-Fescuespread-Instance-Load': `${runner.activeCount},${state.queue.length},${ENGINE.slots}` }
        const expected = request.headers['x-fescuespread-expect-instance']
        if (state.load === undefined || (expected !== undefined && expected !== id)) { response.writeHead(421, { ...common, 'X-Fescuespread-Not-Executed': '1' }).end(); return }
        if (state.busy || (runner.activeCount >= ENGINE.slots && state.queue.length >= QUEUE_COUNT)) { response.writeHead(503, { ...common, 'X-Fescuespread-Not-Executed': '1' }).end(); return }
        const run = () => { stream(request, response, attempt, common) }
        state.queue.push(run)
        response.once('close', () => { state.queue = state.queue.filter(each => each !== run) })
        runNext()
      })
    })
    await listen(server, runner.port)
    server.on('connection', socket => {
      state.sockets.add(socket)
      socket.once('close', () => { state.sockets.delete(socket) })
    })
    const stopBeat = beat(list)
    runner.crash = async downMs => {
      state.isUp = false
      stopBeat()
      server.close()
      for (const socket of state.sockets) socket.resetAndDestroy()
      setTimeout(() => { store.drop('servers', id) }, EXPIRY_MS)
      await sleep(downMs)
      await start()
    }
  }
  await start()
  return runner
}

/** Starts the agent beside a model runner. */
export async function startAgent (store, runner, name) {
  const port = await freePort()
  return await startProgram('agent', settingsOf({ name, kind: 'side', port, app: runner.port, backend: 'llm', store: store.port }))
}

/** A runner's entry is written again about every `heartbeat_ms`. */
export function beat (write, intervalMs = 1_200) {
  write()
  const timer = setInterval(write, intervalMs)
  closers.push(() => { clearInterval(timer) })
  return () => { clearInterval(timer) }
}

/** Clients that send one request after another, each on a kept connection, until a time or the end of the gateway. */
export async function keepCalling (gateway, { clientCount, untilMs, record, path = '/book/1' }) {
  const answers = []
  const run = async at => {
    const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 })
    for (let count = 0; performance.now() < untilMs; count++) {
      const answer = await call(gateway.frontend, { path, agent, id: `client-${at}-${count}` })
      answers.push(answer)
      record.note(`${answer.id} ${answer.status === 0 ? `no answer (${answer.error})` : answer.status}${answer.whole ? '' : ' not whole'}`)
      if (gateway.exit !== undefined) break
      if (answer.status === 0) await sleep(100)
    }
    agent.destroy()
  }
  await Promise.all(Array.from({ length: clientCount }, async (_, at) => { await run(at) }))
  return answers
}

/** A proxy in front of a port whose open connections can be made to go silent for good, without a reset, while new ones work. */
export async function startSilencer (targetPort) {
  const pairs = new Set()
  const server = Net.createServer(client => {
    const target = Net.connect(targetPort, HOST)
    const pair = { isSilent: false }
    pairs.add(pair)
    const pass = (from, to) => {
      from.on('error', () => {})
      from.on('data', bytes => { if (!pair.isSilent) to.write(bytes) })
      // Of a silent connection neither side learns that the other has closed it.
      from.on('close', () => {
        pairs.delete(pair)
        if (!pair.isSilent) to.destroy()
      })
    }
    pass(client, target)
    pass(target, client)
    closers.push(() => { target.destroy() })
  })
  await listen(server)
  return {
    port: server.address().port,
    silence: () => {
      for (const pair of pairs) pair.isSilent = true
      return pairs.size
    }
  }
}

/** Records which requests each runner ran, in order. */
export function noteRuns (record, runners) {
  for (const { id, ran } of runners) record.note(`run by ${id}: ${ran.join(' ')}`)
}
