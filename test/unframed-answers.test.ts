import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as UnframedAnswers from '../src/ingress/unframedAnswers.ts'
import * as Abandoned from '../src/routing/abandoned.ts'

const START = { endpointId: 'e', bornAtMs: 1 }

describe('UnframedAnswers', () => {
  const answersAt = (aliveAtMs: number): { readonly answers: UnframedAnswers.UnframedAnswers, readonly row: { aliveAtMs: number } } => {
    const answers = UnframedAnswers.createUnframedAnswers()
    const row = { aliveAtMs }
    answers.add({ keys: ['request', 'part:a'], row, begunAtMs: 900, endedAtMs: 1_000 })
    return { answers, row }
  }

  describe('takeConfirmed', () => {
    it('returns an answer once its endpoint gave a sign of life that was not on its way at the end', () => {
      const { answers, row } = answersAt(1_000)
      const countAt = (aliveAtMs: number): number => {
        row.aliveAtMs = aliveAtMs
        return answers.takeConfirmed(aliveAtMs).length
      }
      expect([1_299, 1_300, 1_301].map(countAt)).toEqual([0, 1, 0])
    })

    it('drops an answer whose endpoint was not heard of for five seconds', () => {
      const { answers, row } = answersAt(1_000)
      answers.takeConfirmed(6_001)
      row.aliveAtMs = 6_002
      expect(answers.takeConfirmed(6_002)).toEqual([])
    })
  })
})

describe('Abandoned', () => {
  describe('record', () => {
    it('tells that a start ended a moment before, so that an end of its connection is part of the crash', () => {
      const recordAfter = (ms: number, start = START): boolean => {
        const abandoned = Abandoned.createAbandonedAttempts()
        abandoned.takeAffectedDigests(START, 1_000, 1_000)
        return abandoned.record({ digest: 'a', start, atMs: 1_000 + ms })
      }
      expect([recordAfter(0), recordAfter(200), recordAfter(201), recordAfter(0, { endpointId: 'e', bornAtMs: 2 })]).toEqual([false, false, true, true])
    })
  })
})
