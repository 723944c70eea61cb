import { describe, it } from 'node:test'
import { expect } from 'earl'
import type * as Schemas from '../src/schema/index.ts'
import * as TestKit from '../testkit/index.ts'

type Group = TestKit.ControlGroup.Group

const ZONES = [['kartli', 'east'], ['imereti', 'east'], ['adjara', 'west']] as const
const drains = (version: number): Schemas.Control.Document => ({ kind: 'drains', version, body: { zones: [`z${version}`], instanceIds: [] } })
const manifest = (version: number): Schemas.Control.Document => ({
  kind: 'manifest',
  version,
  body: TestKit.Manifests.makeManifest(TestKit.Shapes.CONSORTIUM, { version: `v${version}`, digest: 'a'.repeat(64), sizeBytes: 1 })
})
const createFreshGroup = (perZone: number, seed: number): Group => {
  const group = TestKit.ControlGroup.createGroup(seed)
  group.store.set('manifest', manifest(1))
  for (const [zone, region] of ZONES) for (let i = 1; i <= perZone; i++) group.add(`${zone}-${i}`, zone, region)
  return group
}
const isReady = (process: TestKit.ControlGroup.GroupProcess): boolean => process.tables.learning.isComplete && process.tables.held.manifest() !== undefined
const createSettledGroup = (perZone: number, seed: number): Group => {
  const group = createFreshGroup(perZone, seed)
  group.run(10_000, () => group.processes.every(isReady))
  group.run(3_000)
  expect(group.processes.every(isReady)).toEqual(true)
  return group
}
const allHold = (group: Group, version: number) => (): boolean => group.processes.every(process => process.tables.held.versions().manifest === version)
const violationsOf = (group: Group): unknown[] => group.processes.flatMap(process => process.violations)
const findProcess = (group: Group, id: string): TestKit.ControlGroup.GroupProcess => {
  const process = group.processes.find(candidate => candidate.id === id)
  if (process === undefined) throw new Error(`no process ${id}`)
  return process
}

describe('Control', () => {
  describe('a committed manifest', () => {
    for (const seed of [1, 2, 3]) {
      it(`is in force everywhere within two seconds when only the committing process spreads it (seed ${seed})`, () => {
        const group = createSettledGroup(20, seed)
        group.faults.storeDown = true
        findProcess(group, 'imereti-7').adopt(manifest(2), 'operator')
        expect(group.run(7_000, allHold(group, 2))).toBeLessThan(2_000)
      })
    }

    it('is in force everywhere when it is only in the store', () => {
      const group = createSettledGroup(10, 4)
      group.store.set('manifest', manifest(2))
      expect(group.run(7_000, allHold(group, 2))).toBeLessThan(2_000)
    })

    it('reaches a partitioned region once it is reconnected, and no version reverts', () => {
      const group = createSettledGroup(6, 5)
      group.faults.carries = (from, to) => from.startsWith('adjara') === to.startsWith('adjara')
      group.faults.storeDown = true
      findProcess(group, 'kartli-1').adopt(manifest(3), 'operator')
      findProcess(group, 'adjara-1').adopt(manifest(2), 'operator')
      group.run(30_000)
      expect(findProcess(group, 'adjara-4').tables.held.versions().manifest).toEqual(2)
      group.faults.carries = () => true
      expect(group.run(60_000, allHold(group, 3))).toBeLessThan(60_000)
      expect(violationsOf(group)).toEqual([])
    })

    it('is in force everywhere although processes in the notification trees have crashed', () => {
      const group = createSettledGroup(20, 6)
      const layout = findProcess(group, 'kartli-1').tables.layout
      for (const id of layout.targetsOf('kartli-1', 'operator').slice(0, 3)) group.kill(id)
      group.faults.storeDown = true
      findProcess(group, 'kartli-1').adopt(manifest(2), 'operator')
      expect(group.run(7_000, allHold(group, 2))).toBeLessThan(7_000)
    })
  })

  describe('reads of the store', () => {
    it('do not rise with the number of processes', () => {
      const rates = [5, 25].map(perZone => {
        const group = createSettledGroup(perZone, 7)
        const before = group.processes.reduce((sum, process) => sum + process.readCount, 0)
        group.run(20_000)
        return (group.processes.reduce((sum, process) => sum + process.readCount, 0) - before) / 20
      })
      const expected = 3 * ZONES.length * 1_000 / 500
      for (const rate of rates) expect(rate).toBeLessThan(1.3 * expected)
    })

    it('back off while the store is down and do not come all at once when it is back', () => {
      const group = createSettledGroup(10, 8)
      group.faults.storeDown = true
      group.run(60_000)
      const counts = (): number[] => group.processes.map(process => process.readCount)
      const sum = (numbers: number[]): number => numbers.reduce((total, count) => total + count, 0)
      const before = sum(counts())
      group.run(20_000)
      expect(sum(counts()) - before).toBeLessThan(20 / 2.5 * 3 * ZONES.length)
      group.faults.storeDown = false
      const beforeRecovery = sum(counts())
      group.run(1_000)
      expect(sum(counts()) - beforeRecovery).toBeLessThan(3 * 3 * ZONES.length)
    })
  })

  describe('a process that starts without documents', () => {
    it('learns the documents from the others while the store is down', () => {
      const group = createSettledGroup(5, 9)
      group.faults.storeDown = true
      const newcomer = group.add('adjara-new', 'adjara', 'west')
      expect(group.run(10_000, () => isReady(newcomer))).toBeLessThan(5_000)
      expect(newcomer.tables.held.versions().manifest).toEqual(1)
    })

    it('is not ready while a newer version than it holds is known', () => {
      const group = createSettledGroup(5, 10)
      group.faults.storeDown = true
      const newcomer = group.add('adjara-new', 'adjara', 'west')
      newcomer.tables.highestKnown = { ...newcomer.tables.highestKnown, manifest: 2 }
      group.run(20_000)
      expect(isReady(newcomer)).toEqual(false)
      findProcess(group, 'kartli-2').adopt(manifest(2), 'operator')
      group.run(10_000, () => isReady(newcomer))
      expect([isReady(newcomer), newcomer.tables.held.versions().manifest]).toEqual([true, 2])
    })

    it('is not ready when no ready process answers', () => {
      const group = createFreshGroup(3, 11)
      group.faults.storeDown = true
      group.run(30_000)
      expect(group.processes.some(isReady)).toEqual(false)
      group.faults.storeDown = false
      group.run(15_000, () => group.processes.every(isReady))
      expect(group.processes.every(isReady)).toEqual(true)
    })

    it('accepts the answer of a single process when the others are gone', () => {
      const group = createSettledGroup(1, 12)
      group.faults.storeDown = true
      group.kill('kartli-1')
      group.kill('imereti-1')
      const newcomer = group.add('adjara-new', 'adjara', 'west')
      group.run(20_000, () => isReady(newcomer))
      expect(isReady(newcomer)).toEqual(true)
    })
  })

  describe('a process that was paused', () => {
    it('learns the documents in force again before it is ready', () => {
      const group = createSettledGroup(5, 13)
      group.pause('kartli-2', true)
      group.run(8_000)
      group.store.set('manifest', manifest(2))
      group.run(3_000)
      const paused = findProcess(group, 'kartli-2')
      group.pause('kartli-2', false)
      let staleWhileReady = false
      group.run(5_000, () => {
        if (paused.tables.lastTickAtMs === group.nowMs() && isReady(paused) && paused.tables.held.versions().manifest < 2) staleWhileReady = true
        return isReady(paused) && paused.tables.held.versions().manifest === 2
      })
      expect([staleWhileReady, isReady(paused), paused.tables.held.versions().manifest]).toEqual([false, true, 2])
    })
  })

  describe('members', () => {
    const stateOf = (group: Group, seenBy: string, id: string): string | undefined => findProcess(group, seenBy).tables.members.get(id)?.state
    const others = (group: Group, id: string): string[] => group.processes.map(process => process.id).filter(other => other !== id)

    it('are suspected before they are removed', () => {
      const group = createSettledGroup(5, 14)
      group.kill('kartli-3')
      const everyone = (state: string) => (): boolean => group.processes.every(process => process.tables.members.get('kartli-3')?.state === state)
      expect(group.run(60_000, () => group.processes.some(process => process.tables.members.get('kartli-3')?.state === 'suspect'))).toBeLessThan(10_000)
      expect(group.processes.some(process => process.tables.members.get('kartli-3')?.state === 'dead')).toEqual(false)
      expect(group.run(60_000, everyone('dead'))).toBeLessThan(30_000)
    })

    it('remain alive when one process cannot reach them', () => {
      const group = createSettledGroup(5, 15)
      group.faults.carries = (from, to) => !(from === 'kartli-1' && to === 'adjara-1')
      group.run(60_000)
      for (const id of others(group, 'adjara-1')) expect(stateOf(group, id, 'adjara-1')).toEqual('alive')
      expect(findProcess(group, 'kartli-1').sentences.includes('Member answers relayed probes only.')).toEqual(true)
    })

    it('are not removed by a process that is itself cut off', () => {
      const group = createSettledGroup(5, 16)
      group.faults.carries = (from, to) => from !== 'kartli-1' && to !== 'kartli-1'
      group.run(60_000)
      for (const id of others(group, 'kartli-1')) expect(stateOf(group, 'kartli-1', id)).toEqual('alive')
      for (const id of others(group, 'kartli-1')) expect(stateOf(group, id, 'kartli-1')).toEqual('dead')
      group.faults.carries = () => true
      group.run(60_000, () => others(group, 'kartli-1').every(id => stateOf(group, id, 'kartli-1') === 'alive'))
      for (const id of others(group, 'kartli-1')) expect(stateOf(group, id, 'kartli-1')).toEqual('alive')
    })

    it('refute a suspicion with a higher incarnation', () => {
      const group = createSettledGroup(5, 17)
      const accused = findProcess(group, 'adjara-2')
      const incarnation = accused.tables.self.incarnation
      group.pause('adjara-2', true)
      group.run(10_000, () => stateOf(group, 'kartli-1', 'adjara-2') === 'suspect')
      group.pause('adjara-2', false)
      group.run(30_000)
      expect(accused.tables.self.incarnation).toBeGreaterThan(incarnation)
      for (const id of others(group, 'adjara-2')) expect(stateOf(group, id, 'adjara-2')).toEqual('alive')
    })

    it('remain alive after the instance list drops them, for as long as they answer', () => {
      const group = createSettledGroup(4, 18)
      group.listed.delete('imereti-2')
      group.run(30_000)
      for (const id of others(group, 'imereti-2')) expect(stateOf(group, id, 'imereti-2')).toEqual('alive')
      group.kill('imereti-2')
      group.run(180_000)
      for (const process of group.processes) expect(process.tables.members.has('imereti-2')).toEqual(false)
    })

    it('announce it to the others when the instance list marks them as leaving, and as live again', () => {
      const group = createSettledGroup(5, 21)
      const place = group.listed.get('adjara-1')
      if (place === undefined) throw new Error('adjara-1 is not listed')
      for (const state of ['leaving', 'live'] as const) {
        group.listed.set('adjara-1', { ...place, state })
        group.run(20_000)
        for (const id of others(group, 'adjara-1')) expect(findProcess(group, id).tables.members.get('adjara-1')?.place.state).toEqual(state)
      }
      expect(findProcess(group, 'adjara-1').tables.self.place?.state).toEqual('live')
    })

    it('are reached at the address that the list or they themselves last changed', () => {
      const group = createSettledGroup(3, 22)
      const place = group.listed.get('adjara-1')
      if (place === undefined) throw new Error('adjara-1 is not listed')
      const portsOf = (): number[] => others(group, 'adjara-1').map(id => findProcess(group, id).tables.members.get('adjara-1')?.place.port ?? 0)
      group.listed.set('adjara-1', { ...place, port: 2 })
      group.run(10_000)
      expect(portsOf().every(port => port === 2)).toEqual(true)
      const restarted = findProcess(group, 'adjara-1')
      restarted.tables.self.incarnation += 10
      restarted.push({ kind: 'announced', place: { ...place, port: 3 } })
      group.run(20_000)
      expect(portsOf().every(port => port === 3)).toEqual(true)
    })

    it('send a bounded number of rumours', () => {
      const group = createSettledGroup(20, 19)
      for (const process of group.processes.slice(0, 15)) group.kill(process.id)
      let largest = 0
      for (let round = 0; round < 40; round++) {
        group.run(500)
        for (const process of group.processes.slice(0, 5)) largest = Math.max(largest, TestKit.ControlGroup.messageOf(process).rumours.length)
      }
      expect(largest).toEqual(6)
    })
  })

  describe('documents', () => {
    it('of an older version are refused', () => {
      const group = createSettledGroup(1, 20)
      const process = findProcess(group, 'kartli-1')
      process.adopt(drains(2), 'operator')
      process.adopt(drains(1), 'peer')
      expect(process.tables.held.drains().zones).toEqual(['z2'])
    })
  })
})
