/**
 * Runs test files and passes over the failures that KNOWN-RED.txt lists, and over no others:
 * `node --import tsx tools/knownRed/main.ts [--list FILE] FILE…`. The listed failures are printed.
 *
 * @packageDocumentation
 */
import * as Path from 'node:path'
import type * as Stream from 'node:stream'
import * as NodeTest from 'node:test'
import * as Reporters from 'node:test/reporters'
import yargs from 'yargs'
import * as List from './list.ts'

const CONCURRENCY = 4
/** The first of the test runner's closing lines. */
const FIRST_CLOSING_LINE = /^tests \d+$/

const argv = yargs(process.argv.slice(2))
  .scriptName('knownRed')
  .option('list', { type: 'string', default: List.FILE, describe: 'The list of known failures' })
  .strictOptions()
  .parseSync()

type Event = { readonly type: string, readonly data: any }

const entries = List.read(argv.list).filter(entry => !entry.test.startsWith('mutant '))
const files = argv._.map(file => Path.resolve(String(file)))
const path: string[] = []
const failed: string[] = []

/** Follows the names of nested tests and inserts what is known before the closing lines. */
async function * follow (source: AsyncIterable<Event>): AsyncGenerator<Event> {
  for await (const event of source) {
    if (event.type === 'test:start') {
      path.length = event.data.nesting
      path.push(event.data.name)
    }
    if (event.type === 'test:fail' && event.data.details?.error?.failureType !== 'subtestsFailed') {
      const file = Path.relative(process.cwd(), String(event.data.file ?? ''))
      failed.push([file, ...path.slice(0, event.data.nesting), event.data.name].join(' > '))
    }
    if (event.type === 'test:diagnostic' && event.data.nesting === 0 && FIRST_CLOSING_LINE.test(event.data.message)) {
      for (const message of summary()) yield { type: 'test:diagnostic', data: { nesting: 0, message } }
    }
    yield event
  }
}

function summary (): string[] {
  const known = entries.filter(entry => failed.includes(entry.test))
  const stale = entries.filter(entry => !failed.includes(entry.test))
  return [
    ...known.map(entry => `known red: ${List.describe(entry)}`),
    ...stale.map(entry => `listed as red but not seen to fail: ${entry.test}`),
    ...unknownFailures().map(test => `failed and not listed: ${test}`)
  ]
}

function unknownFailures (): string[] {
  return failed.filter(test => !entries.some(entry => entry.test === test))
}

/** The types of the runner know neither of the two as streams. */
const SpecReporter = Reporters.spec as unknown as new () => Stream.Transform
const stream = NodeTest.run({ files, concurrency: CONCURRENCY }) as unknown as Stream.Readable
process.once('beforeExit', () => { process.exitCode = unknownFailures().length === 0 ? 0 : 1 })
stream.compose<Stream.Duplex>(follow as never).pipe(new SpecReporter()).pipe(process.stdout)
