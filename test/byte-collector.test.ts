import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as FastCheck from 'fast-check'
import * as ByteCollector from '../src/edge/byteCollector.ts'

describe('createByteCollector', () => {
  it('returns all bytes in order, whatever the sizes of the parts', () => {
    const sizes = FastCheck.array(FastCheck.oneof(FastCheck.integer({ min: 0, max: 4 }), FastCheck.integer({ min: 0, max: 3_000 })), { maxLength: 60 })
    FastCheck.assert(FastCheck.property(sizes, lengths => {
      let next = 0
      const parts = lengths.map(length => Buffer.from(Array.from({ length }, () => next++ % 251)))
      const collector = ByteCollector.createByteCollector()
      for (const part of parts) collector.push(part)
      return collector.sizeBytes() === next && collector.take().equals(Buffer.concat(parts))
    }), { seed: 5, numRuns: 300 })
  })

  // Guards against a heap that is filled by parts of one byte: each part that is kept costs a buffer object.
  it('keeps few of many small parts', () => {
    const collector = ByteCollector.createByteCollector()
    const parts = Array.from({ length: 1_000 }, () => Buffer.from('x'))
    for (const part of parts) collector.push(part)
    for (const part of parts) part.fill('y')
    expect(collector.take().toString().replaceAll('y', '').length > 980).toEqual(true)
  })
})
