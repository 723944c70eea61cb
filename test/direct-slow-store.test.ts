import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import * as Store from '../platform/store.ts'
import * as PlatformStore from '../standins/platformStore.ts'

describe('a read of the store over a full link', () => {
  let store: PlatformStore.PlatformStore
  beforeEach(async () => {
    store = await PlatformStore.startPlatformStore()
    store.put('op', 'config', { routes: ['r'] })
  })
  afterEach(async () => { await store.close() })

  it('succeeds however long it takes, as long as bytes arrive', async () => {
    store.faults.pieceMs = 400
    const source = Store.createRowSource(() => ({ host: '127.0.0.1', port: store.port }))
    const [whole, changes] = await Promise.all([source.readAll('op'), source.readSince('op', 0, 100)])
    expect([whole, changes].map(page => page.map(({ rows }) => rows.map(row => row.key)).unwrapOr([]))).toEqual([['config'], ['config']])
  })

  it('gets more time for its first byte after one that timed out', async () => {
    store.faults.lateMs = 2_000
    const source = Store.createRowSource(() => ({ host: '127.0.0.1', port: store.port }))
    const pages = [await source.readAll('op'), await source.readAll('op')]
    expect(pages.map(page => page.match(() => 'taken', failure => failure.kind))).toEqual(['silent', 'taken'])
  })
})
