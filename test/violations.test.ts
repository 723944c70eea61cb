import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Core from '../src/core/index.ts'
import * as Edge from '../src/edge/index.ts'

describe('createReporter', () => {
  it('counts a violation by name and logs the data that a replay needs, without the body of an answer', () => {
    const lines: object[] = []
    const counts: unknown[] = []
    const log = { warn: (prefix: string, sentence: string, fields: object) => { lines.push({ prefix, sentence, ...fields }) } }
    const metrics = { count: (name: string, labels: object, amount = 1) => { if (amount > 0) counts.push([name, labels]) } }
    const report = Edge.Violations.createReporter(log as never, metrics as never, 42)
    const check = Core.Invariants.createCheck(violation => { report(violation, { tickCount: 7, nowMs: 1_500, inputs: [{ kind: 'callEnded', attemptId: 'a', outcome: { bodyBase64: 'secret' } }] }) })
    check('atMostOnce', true, () => ({}))
    check('atMostOnce', false, () => ({ attemptId: 'a' }))
    expect(counts).toEqual([['invariant_violations_total', { name: 'atMostOnce' }]])
    expect(lines).toEqual([{
      prefix: 'invariant',
      sentence: 'Invariant violated.',
      name: 'atMostOnce',
      text: Core.Invariants.INVARIANTS.atMostOnce,
      details: { attemptId: 'a' },
      seed: 42,
      tickCount: 7,
      nowMs: 1_500,
      inputs: '[{"kind":"callEnded","attemptId":"a","outcome":{}}]'
    }])
  })
})
