// All open connections of the gateways to the store go silent at one moment; new ones work. Then the configuration changes.
import * as Kit from '../kit.mjs'

const ZONES = ['kartli-a', 'imereti-a', 'adjara-a']
const ROUND_COUNT = 2
const ROUND_MS = 22_000
/** In touch: `stable_window_ms` after the reset of the connections. */
const STABLE_MS = 3_000
const CHANGE_AFTER_MS = STABLE_MS + 300
/** CONFIG: a request sent later than `config_apply_ms` after the acknowledgement of a version. */
const APPLY_MS = 2_000
const CALL_INTERVAL_MS = 100

await Kit.runCase(import.meta.url, async record => {
  const store = await Kit.startStore()
  const names = ['plain', 'plain-b']
  const runners = {}
  for (const name of names) {
    runners[name] = await Kit.startPlainRunner({ id: `i-${name}`, workMs: 20 })
    Kit.beat(() => { Kit.listRunner(store, runners[name], { backend: name, slots: 64 }) })
  }
  let version = 0
  const base = Kit.configOf()
  /** Writes a version whose route /read/ leads to a service; the store's answer is the acknowledgement. */
  const deploy = service => {
    version++
    const routes = base.routes.map(route => route.name === 'read' ? { ...route, backend: service } : route)
    store.put('op', 'config', { ...base, version, routes, backends: [...base.backends, { ...base.backends[0], name: 'plain-b' }] })
    record.note(`version ${version} acknowledged: /read/ leads to ${service}`)
    return performance.now()
  }
  deploy('plain')
  const silencer = await Kit.startSilencer(store.port)
  const gateways = await Promise.all(ZONES.map(async (zone, at) => await Kit.startGateway({ port: silencer.port }, { name: `edge-${zone}-${at + 1}`, zone })))
  for (const gateway of gateways) await Kit.until('calls are answered', 10_000, async () => (await Kit.call(gateway.frontend)).status === 200)

  const stale = []
  let sentCount = 0
  const startMs = performance.now()
  for (let round = 0; round < ROUND_COUNT; round++) {
    const roundMs = startMs + round * ROUND_MS
    const [oldService, newService] = round % 2 === 0 ? names : [...names].reverse()
    await Kit.sleep(Math.max(0, roundMs + 1_000 - performance.now()))
    deploy(oldService)
    await Kit.sleep(100)
    if (Kit.TROUBLE) record.note(`${silencer.silence()} connections to the store go silent`)
    await Kit.sleep(CHANGE_AFTER_MS)
    const acknowledgedMs = deploy(newService)
    await Kit.sleep(APPLY_MS + 50)
    while (performance.now() < roundMs + ROUND_MS - 2_000) {
      for (const [at, gateway] of gateways.entries()) {
        sentCount++
        Kit.call(gateway.frontend, { id: `r${round}-g${at}-${sentCount}` }).then(answer => {
          const ranAt = names.find(name => runners[name].ran.includes(answer.id)) ?? 'no service'
          record.note(`${answer.id} sent ${Math.round(answer.sentAtMs - acknowledgedMs)} ms after the acknowledgement: ${answer.status}, run by ${ranAt}`)
          if (ranAt === oldService) stale.push(answer)
        }).catch(error => { record.note(error.message) })
      }
      await Kit.sleep(CALL_INTERVAL_MS)
    }
  }
  await Kit.sleep(1_000)
  Kit.noteRuns(record, Object.values(runners))
  record.note(`${sentCount} requests sent later than ${APPLY_MS} ms after the acknowledgement; run by the old service: ${stale.length}`)
  return stale.length > 0 ? Kit.EXIT.broken : Kit.EXIT.held
})
