import * as Fs from 'node:fs'
import * as Path from 'node:path'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Codes from '../src/core/codes.ts'
import * as TestKit from '../testkit/index.ts'

const RESULT_CODES_PAGE = Fs.readFileSync(Path.join(TestKit.Processes.ROOT, 'docs', 'RESULT-CODES.md'), 'utf8')

describe('CODES', () => {
  it('matches the table in docs/RESULT-CODES.md', () => {
    const expectedRows = Codes.CODE_NAMES.map(name => {
      const { code, httpStatus, run, retryable, text } = Codes.CODES[name]
      return `| ${code} | ${name} | ${httpStatus} | ${run} | ${retryable ? 'yes' : 'no'} | ${text} |`
    })
    const pageRows = RESULT_CODES_PAGE.split('\n').filter(line => /^\| \d/.test(line))
    expect(pageRows).toEqual(expectedRows)
  })

  it('gives each name its own number', () => {
    const numbers = Codes.CODE_NAMES.map(name => Codes.CODES[name].code as number)
    expect(new Set(numbers).size).toEqual(numbers.length)
    expect(Codes.CODE_NAMES.map(name => Codes.nameOf(Codes.CODES[name].code) as string)).toEqual(Codes.CODE_NAMES)
  })
})
