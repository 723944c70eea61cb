import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Follow from '../src/follow/index.ts'
import * as Direct from '../testkit/direct.ts'

const NEWS: Follow.News.News = { sender: 'a', revisions: {} }

describe('News', () => {
  it('is dropped without an error once the channel is closed', async () => {
    const address = { host: '127.0.0.1', port: await Direct.freePort() }
    const errors: string[] = []
    const channel = await Follow.News.openChannel(address, () => {}, reason => { errors.push(reason) })
    channel.close()
    channel.send(NEWS, [address])
    expect(errors).toEqual([])
  })
})
