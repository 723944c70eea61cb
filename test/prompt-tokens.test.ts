import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Dialect from '../platform/dialect.ts'

describe('the number of prompt tokens of a call', () => {
  const promptTokensOf = (value: string | undefined): number => Dialect.createDialect().readCall(value === undefined ? {} : { 'x-fescuespread-token-usage': value }).promptTokens

  it('is the first of two numbers', () => { expect(['100,50', '0,1', '12.5', undefined].map(promptTokensOf)).toEqual([100, 0, 12.5, 0]) })

  // Guards against a sum of tokens that becomes infinite or not a number: no endpoint was chosen any more, for any call.
  it('is finite, and never negative, whatever the caller sends', () => {
    const counts = ['1e400,10', `1${'0'.repeat(400)},10`, '-5,10', 'NaN', 'Infinity,1', '0x10'].map(promptTokensOf)
    expect(counts).toEqual([0, 100_000_000, 0, 0, 0, 0])
  })
})
