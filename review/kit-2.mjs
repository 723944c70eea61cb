/**
 * Small stand-ins of the platform's store, runners and clients for the scripts of the second review,
 * and the start of the project's programs with the commands of the deploy file.
 */
import * as ChildProcess from 'node:child_process'
import * as Dgram from 'node:dgram'
import * as Fs from 'node:fs'
import * as Http from 'node:http'
import * as Net from 'node:net'
import * as Os from 'node:os'
import * as Path from 'node:path'
import * as Url from 'node:url'

const HOST = '127.0.0.1'
const ROOT = Url.fileURLToPath(new URL('..', import.meta.url))
/** Longest run of a script, in milliseconds. */
const RUN_LIMIT_MS = 110_000
const HEARTBEAT_MS = 1_200

/** Waits for a time, in milliseconds. */
export const sleep = async delayMs => await new Promise(resolve => { setTimeout(resolve, delayMs) })

/** Waits until a check holds; throws after the timeout, in milliseconds. */
export async function until (what, timeoutMs, check) {
  const endMs = performance.now() + timeoutMs
  while (!await check()) {
    if (performance.now() > endMs) throw new Error(`not in time: ${what}`)
    await sleep(20)
  }
}

/** Finds a port that is free for TCP and UDP. */
export async function freePort () {
  for (;;) {
    const server = Net.createServer()
    await new Promise(resolve => { server.listen(0, HOST, resolve) })
    const { port } = server.address()
    const socket = Dgram.createSocket('udp4')
    const isFree = await new Promise(resolve => {
      socket.once('error', () => { resolve(false) })
      socket.bind(port, HOST, () => { resolve(true) })
    })
    if (isFree) await new Promise(resolve => { socket.close(resolve) })
    await new Promise(resolve => { server.close(resolve) })
    if (isFree) return port
  }
}

/** The times and limits of `twlc-fescue` in the settings of a process. */
export const BOUNDS = { retry_budget_ratio: 0.2, retry_slack: 106, budget_window_s: 10, version_ms: 8_000, grace_s: 8 }
export const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
const ZONES = { a: 'ra' }

/** Starts a store that follows PROTOCOL.md, as far as the scripts need it. */
export async function startStore () {
  const rows = new Map()
  const feeds = new Set()
  const sockets = new Set()
  const faults = { isSilent: false }
  let revision = 1
  const set = (table, key, value, deleted) => {
    revision++
    rows.set(`${table}/${key}`, { table, part: '', key, ...(deleted ? { deleted } : { value }), schema_version: revision })
    for (const check of [...feeds]) check()
    return revision
  }
  const ofTable = table => [...rows.values()].filter(row => row.table === table)
  const page = found => ({ rows: found, schema_version: revision, now_ms: Math.round(performance.now()) })
  const live = row => row === undefined || row.deleted ? undefined : row
  const transact = (body, answer) => {
    const current = body.precondition.map(({ table, key }) => live(rows.get(`${table}/${key}`)))
    if (body.precondition.some(({ schema_version: expected }, at) => expected !== (current[at]?.schema_version ?? 0))) {
      answer(412, page(current.filter(row => row !== undefined)))
      return
    }
    for (const { table, key, value } of body.write) set(table, key, value, false)
    for (const { table, key } of body.remove) set(table, key, undefined, true)
    answer(200, { schema_version: revision, now_ms: Math.round(performance.now()) })
  }
  const feed = (query, answer) => {
    const after = Number(query.get('after_revision'))
    const changed = () => ofTable(query.get('table')).filter(row => row.schema_version > after).sort((a, b) => a.schema_version - b.schema_version)
    const finish = () => {
      clearTimeout(timer)
      feeds.delete(check)
      answer(200, page(changed()))
    }
    const check = () => { if (changed().length > 0) finish() }
    const timer = setTimeout(finish, Number(query.get('wait_ms')))
    feeds.add(check)
    check()
  }
  const server = Http.createServer((request, response) => {
    const url = new URL(request.url, 'http://store')
    const answer = (status, body) => { if (!faults.isSilent && !response.destroyed) response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body)) }
    readBody(request, body => {
      if (faults.isSilent) return
      if (url.pathname === '/rows-get') answer(200, { ...page(ofTable(url.searchParams.get('table')).filter(row => !row.deleted).sort((a, b) => a.key < b.key ? -1 : 1)), has_more: false })
      else if (url.pathname === '/rows-feed') feed(url.searchParams, answer)
      else if (url.pathname === '/rows-tx') transact(JSON.parse(body.toString()), answer)
      else answer(404, {})
    })
  })
  keepSockets(server, sockets)
  await new Promise(resolve => { server.listen(0, HOST, resolve) })
  return {
    port: server.address().port,
    faults,
    put: (table, key, value) => set(table, key, Buffer.from(JSON.stringify(value)).toString('base64'), false),
    drop: (table, key) => set(table, key, undefined, true),
    rowsOf: table => ofTable(table).filter(row => !row.deleted).map(row => ({ key: row.key, value: JSON.parse(Buffer.from(row.value, 'base64').toString()) })),
    close: () => { closeServer(server, sockets) }
  }
}

/**
 * Starts a runner that lists itself in the store. `serve` answers a request that runs; `sealed` are the headers of its answer.
 * `entry` is added to the runner's entry in the store.
 */
export async function startRunner ({ store, id, service, slots = 6, entry = {}, serve }) {
  const sockets = new Set()
  /** Requests that began to run: id, path, when, and whether the system took the whole answer. */
  const runs = []
  const server = Http.createServer((request, response) => {
    readBody(request, body => {
      const attemptId = request.headers['x-fescuespread-attempt-id'] ?? ''
      if ((request.headers['x-fescuespread-expect-instance'] ?? id) !== id) { response.writeHead(421, { 'X-Fescuespread-Attempt-Id': attemptId }).end(); return }
      const run = { attemptId, path: request.url, runner: id, bodyBytes: body.length, atMs: performance.now(), isAnswered: false }
      runs.push(run)
      response.once('finish', () => { run.isAnswered = true })
      serve({ request, response, body, run, sealed: { 'X-Fescuespread-Attempt-Id': attemptId, 'X-Fescuespread-Response-Seal': `seal-${id}`, 'X-Fescuespread-Instance-Load': `0,0,${slots}` } })
    })
  })
  keepSockets(server, sockets)
  await new Promise(resolve => { server.listen(0, HOST, resolve) })
  const { port } = server.address()
  let sequence = 0
  const list = () => { store.put('servers', id, { backend: service, address: `${HOST}:${port}`, zone: 'a', version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, sequence: ++sequence, born: 1_700_000_000_000, ...entry }) }
  list()
  const heartbeat = setInterval(list, HEARTBEAT_MS)
  return {
    id,
    port,
    runs,
    close: () => {
      clearInterval(heartbeat)
      closeServer(server, sockets)
    }
  }
}

/** Starts a plain runner. `answerOf` returns the work in milliseconds and the body of the answer to a request. */
export async function startPlainRunner ({ answerOf, ...options }) {
  return await startRunner({
    ...options,
    serve: ({ request, response, body, sealed }) => {
      const { workMs, text } = answerOf(request, body)
      setTimeout(() => { response.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length, ...sealed }).end(text) }, workMs)
    }
  })
}

/** A service of model engines for the configuration, as in the users' example, and what an engine's entry holds besides. */
export const ENGINE_SERVICE = { name: 'llm', health_path: '/healthz', max_connections: 434, cold_start_s: 3, cold_per_s: 36, engine: { slots: 16, stride: 5, step_ms: 8.87, per_seq_ms: 0.0388, context_per_k: 0.0227, read_per_s: 19_100, pairs_per_m: 1.47, chunk: 2_048, usual: { prompt: 977, answer: 94 }, layers: 16, chunks: 64, models: [{ name: 'm' }] } }
export const ENGINE_ENTRY = { models: [{ name: 'm', version: 1, adapters: [] }], layers: [{ from: 0, target: 16, version: 1 }] }

/** Starts a role of the deploy file. `settings` are added to those that every process has; `ports` are those of a process that it follows. */
export async function startRole (role, name, folder, store, settings = {}, ports = undefined) {
  const deployFile = Fs.readFileSync(Path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const [program, ...args] = new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]*)"`).exec(deployFile)[1].split(' ')
  const [callers, readiness, peers] = ports ?? [await freePort(), await freePort(), await freePort()]
  const settingsPath = Path.join(folder, `${name}.toml`)
  const { app, listen = `frontend = "${HOST}:${callers}"\nready = "${HOST}:${readiness}"` } = settings
  Fs.writeFileSync(settingsPath, [
    `node_name = "${name}"`, `role = "${role}"`, `ip = "${HOST}"`, 'zone = "a"', 'region = "ra"', `internal_ports = [${peers}, ${peers}]`, `seeds = ["${HOST}:${peers}"]`, 'bootstrap = true',
    ...(app === undefined ? [] : [`app = "${app.address}"`, `backend = "${app.service}"`]),
    '[zones]', ...Object.entries(ZONES).map(([zone, region]) => `${zone} = "${region}"`),
    '[listen]', listen,
    '[limits]', 'cpu_share = 1.0', 'cores = 1', `memory_mb = ${role === 'gateway' ? 350 : 218}`, `max_fds = ${role === 'gateway' ? 4_100 : 1_494}`, `link_mbps = ${role === 'gateway' ? '1000.0' : '5.32'}`, 'disk_mb = 0',
    '[bounds]', ...Object.entries(BOUNDS).map(([bound, value]) => `${bound} = ${value}`),
    '[platform]', `address = "${HOST}:${store.port}"`
  ].join('\n') + '\n')
  const logPath = Path.join(folder, `${name}.log`)
  const logFile = Fs.openSync(logPath, 'a')
  const { PATH, HOME = folder, LANG = 'C.UTF-8' } = process.env
  const child = ChildProcess.spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env: { PATH, HOME, LANG, FESCUESPREAD_SETTINGS: settingsPath }, stdio: ['ignore', logFile, logFile] })
  const started = {
    name,
    callers,
    readiness,
    peers,
    ports: [callers, readiness, peers],
    pid: child.pid,
    end: undefined,
    signal: signal => { child.kill(signal) },
    text: () => Fs.readFileSync(logPath, 'utf8'),
    lines: () => Fs.readFileSync(logPath, 'utf8').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line)),
    isReady: async () => await new Promise(resolve => {
      const request = Http.get({ host: HOST, port: readiness, path: '/readyz', agent: false, timeout: 1_000 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => { request.destroy() })
      request.on('error', () => { resolve(false) })
    })
  }
  started.ended = new Promise(resolve => {
    child.once('exit', (code, signal) => {
      started.end = { code, signal, atMs: performance.now() }
      resolve(started.end)
    })
  })
  return started
}

/** Makes a request's head. */
export function headOf ({ method = 'GET', path, id, deadlineMs, headers = {} }) {
  const fields = { Host: 'desk.example', 'X-Fescuespread-Attempt-Id': id, 'X-Fescuespread-Deadline-Ms': deadlineMs, Authorization: 'Bearer key-1', ...headers }
  return `${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
}

/**
 * Opens a client's connection. `send` writes a request's bytes and resolves with its answer: status, headers, size of the body,
 * whether the body was whole, and times. The client reads what `rateOf` allows: bytes it takes in each tenth of a second, by the time since it sent.
 */
export async function connect (port) {
  const socket = Net.connect({ host: HOST, port })
  let buffered = Buffer.alloc(0)
  let isClosed = false
  socket.on('error', () => {})
  socket.once('close', () => { isClosed = true })
  await new Promise((resolve, reject) => {
    socket.once('connect', resolve)
    socket.once('error', reject)
  })
  const take = limitBytes => {
    while (limitBytes > 0) {
      const bytes = socket.read(Math.min(limitBytes, socket.readableLength))
      if (bytes === null) return
      limitBytes -= bytes.length
      buffered = Buffer.concat([buffered, bytes])
    }
  }
  socket.on('readable', () => {})
  return {
    isClosed: () => isClosed,
    write: bytes => { socket.write(bytes) },
    close: () => { socket.destroy() },
    receive: async ({ deadlineMs, rateOf = () => Infinity, sinceMs = performance.now() }) => {
      let head
      for (;;) {
        take(rateOf(performance.now() - sinceMs))
        const nowMs = performance.now()
        const headEnd = buffered.indexOf('\r\n\r\n')
        if (head === undefined && headEnd !== -1) {
          const [first, ...fields] = buffered.subarray(0, headEnd).toString('latin1').split('\r\n')
          const headers = Object.fromEntries(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]))
          head = { status: Number(first.split(' ')[1]), headers, from: headEnd + 4, bytes: Number(headers['content-length'] ?? 0) }
        }
        const bodyBytes = head === undefined ? 0 : buffered.length - head.from
        const isWhole = head !== undefined && bodyBytes >= head.bytes
        const isOver = nowMs - sinceMs > deadlineMs
        if (!isWhole && !isOver && !(isClosed && socket.readableLength === 0)) { await sleep(10); continue }
        const text = isWhole ? buffered.subarray(head.from, head.from + head.bytes).toString() : ''
        if (isWhole) buffered = buffered.subarray(head.from + head.bytes)
        return { status: head?.status ?? 0, headers: head?.headers ?? {}, text, expectedBytes: head?.bytes, bodyBytes, isWhole, end: isWhole ? 'whole' : isOver ? 'deadline' : 'connection closed', tookMs: Math.round(nowMs - sinceMs) }
      }
    }
  }
}

/**
 * Runs a script, given its own address: calls `play` with a recorder and a place for what has to be ended, and ends the process with the verdict.
 * `play` returns whether the rule held.
 */
export async function run (script, play) {
  const folder = Url.fileURLToPath(new URL('.', script))
  const isTroubled = process.env.TROUBLE !== '0'
  const lines = []
  const closes = []
  const startedAtMs = performance.now()
  const temporary = Fs.mkdtempSync(Path.join(Os.tmpdir(), 'case-'))
  const record = (...parts) => {
    const line = `${String(Math.round(performance.now() - startedAtMs)).padStart(6)} ms  ${parts.join(' ')}`
    lines.push(line)
    console.log(line)
  }
  const limit = setTimeout(() => { end(2, 'out of time') }, RUN_LIMIT_MS)
  let isEnding = false
  const end = async (code, verdict) => {
    if (isEnding) return
    isEnding = true
    clearTimeout(limit)
    for (const close of closes.reverse()) await close()
    record(verdict)
    Fs.writeFileSync(Path.join(folder, 'record.txt'), lines.join('\n') + '\n')
    Fs.rmSync(temporary, { recursive: true, force: true })
    process.exit(code)
  }
  /** Starts a role whose process is ended with the script. */
  const start = async (role, name, store, settings, ports) => {
    const started = await startRole(role, name, temporary, store, settings, ports)
    closes.push(async () => {
      if (started.end === undefined) started.signal('SIGKILL')
      await started.ended
    })
    return started
  }
  try {
    record(isTroubled ? 'with the disruption' : 'without the disruption')
    const isHeld = await play({ isTroubled, record, start, closes, temporary })
    await end(isHeld ? 0 : 1, isHeld ? 'rule held' : 'RULE BROKEN')
  } catch (error) {
    await end(2, `could not run: ${error.stack}`)
  }
}

function readBody (request, onBody) {
  const parts = []
  request.on('data', part => { parts.push(part) })
  request.on('end', () => { onBody(Buffer.concat(parts)) })
}

function keepSockets (server, sockets) {
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => { sockets.delete(socket) })
  })
}

function closeServer (server, sockets) {
  server.close()
  for (const socket of sockets) socket.destroy()
}
