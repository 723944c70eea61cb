import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Follow from '../src/follow/index.ts'
import * as Direct from '../testkit/direct.ts'

const NEWS: Follow.News.News = { sender: 'a', revisions: {} }

describe('News', () => {
  it('is dropped without a fault once the channel is closed', async () => {
    const address = { host: '127.0.0.1', port: await Direct.freePort() }
    const faults: string[] = []
    const channel = await Follow.News.openChannel(address, () => {}, reason => { faults.push(reason) })
    channel.close()
    channel.send(NEWS, [address])
    expect(faults).toEqual([])
  })
})
