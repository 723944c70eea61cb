/** The two gateways that read the operator's table freeze: the third one, which reads it from them, acts on an older version later than config_apply_ms. */
import * as Kit from '../kit-3.mjs'

const APPLY_MS = 2_000
const FREEZE_MS = 4_000
const ROUND_COUNT = 4
const ROUND_MS = 18_000
const ZONES = { 'kartli-a': 'kartli', 'kartli-b': 'kartli', 'kartli-c': 'kartli' }
const ROUTE = { name: 'file-return', prefix: '/file/', route_type: 'non_idempotent' }
const SERVICES = ['filing-1', 'filing-2']

await Kit.runCase(import.meta.dirname, async ({ record, launcher, onClose }) => {
  const store = await Kit.startStore()
  onClose(store.close)
  const ranBy = new Map()
  for (const service of SERVICES) {
    const runner = await Kit.startRunner({ instanceId: `i-${service}`, onRun: id => { ranBy.set(id, service) } })
    onClose(runner.close)
    const beat = setInterval(() => { store.put('servers', runner.instanceId, runner.entry({ backend: service, zone: 'kartli-a' })) }, 1_200)
    store.put('servers', runner.instanceId, runner.entry({ backend: service, zone: 'kartli-a' }))
    onClose(() => { clearInterval(beat) })
  }
  let version = 1
  const deploy = () => {
    version++
    const service = SERVICES[version % 2]
    store.put('op', 'config', Kit.configOf({ version, backends: SERVICES.map(name => ({ name })), routes: [{ ...ROUTE, backend: service }] }))
    record.write('config acknowledged', { version, service })
    return { service, atMs: Kit.now() }
  }
  deploy()
  const gateways = []
  for (const zone of Object.keys(ZONES)) {
    // A port of the store for each gateway, so that the store sees which of them reads the operator's table.
    gateways.push(await launcher.startGateway({ name: `edge-${zone}-1`, zone, zones: ZONES, storePort: await store.openPort() }))
  }
  await Promise.all(gateways.map(launcher.untilReady))
  await Kit.sleep(6_000)
  let lateCount = 0
  for (let round = 0; round < ROUND_COUNT; round++) {
    const roundEndsMs = Kit.now() + ROUND_MS
    const readers = gateways.filter(gateway => store.lastReadMs(gateway.storePort, 'op') > Kit.now() - 2_600)
    const [calm] = gateways.filter(gateway => !readers.includes(gateway))
    record.write('round', { readers: readers.map(({ name }) => name), calm: calm?.name })
    if (calm !== undefined) {
      deploy()
      await Kit.sleep(150)
      if (Kit.isTroubled) for (const reader of readers) reader.signal('SIGSTOP')
      record.write(Kit.isTroubled ? 'frozen' : 'not frozen')
      await Kit.sleep(20)
      const change = deploy()
      const untilMs = Kit.now() + FREEZE_MS
      const sent = []
      while (Kit.now() < untilMs) {
        const id = Kit.nextId()
        const sentAtMs = Kit.now()
        sent.push(Kit.sendRequest({ port: calm.ports.frontend, id, method: 'POST', path: '/file/1', body: 'return' }).then(({ status }) => ({ id, status, sinceAckMs: Math.round(sentAtMs - change.atMs) })))
        await Kit.sleep(25)
      }
      for (const reader of readers) reader.signal('SIGCONT')
      for (const { id, status, sinceAckMs } of await Promise.all(sent)) {
        const service = ranBy.get(id)
        const isLate = sinceAckMs > APPLY_MS && service !== undefined && service !== change.service
        if (isLate) lateCount++
        record.write('request', { gateway: calm.name, id, sinceAckMs, status, service, isLate })
      }
    }
    await Kit.sleep(roundEndsMs - Kit.now())
  }
  record.write('run by the old service later than config_apply_ms', { lateCount })
  return lateCount === 0
})
