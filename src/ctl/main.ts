/**
 * The program `fescuectl`.
 *
 * @packageDocumentation
 */
import yargs from 'yargs'
import * as Client from './client.ts'
import * as Commands from './commands.ts'

const DEFAULT_TIMEOUT_MS = 30_000

const run = (work: () => number | Promise<number>): void => {
  Promise.resolve().then(work).then(
    code => { process.exitCode = code },
    (error: Error) => {
      process.stderr.write(`fescuectl: ${error.message}\n`)
      process.exitCode = Client.EXIT.failed
    }
  )
}

const parser = yargs(process.argv.slice(2))
  .scriptName('fescuectl')
  .option('gateway', { type: 'string', default: process.env.FESCUE_GATEWAY ?? '127.0.0.1:8080', describe: 'A gateway, HOST:PORT (FESCUE_GATEWAY)' })
  .option('token', { type: 'string', default: process.env.FESCUE_TOKEN ?? '', defaultDescription: 'from the environment', describe: 'Operator token (FESCUE_TOKEN)' })
  .option('json', { type: 'boolean', default: process.env.FESCUE_JSON === 'true', describe: 'Print one JSON object (FESCUE_JSON=true)' })
  .option('timeout-ms', { type: 'number', default: Number(process.env.FESCUE_TIMEOUT_MS ?? DEFAULT_TIMEOUT_MS), describe: 'Time for each call in milliseconds (FESCUE_TIMEOUT_MS)' })
  .version(false)
  .strict()
  .demandCommand(1)
  .fail((message, error) => {
    process.stderr.write(`fescuectl: ${message ?? error.message}. See --help.\n`)
    process.exit(Client.EXIT.invalid)
  })

Commands.addCommands(parser as never, run).parse()
