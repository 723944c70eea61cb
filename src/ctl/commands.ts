/**
 * The commands of `fescuectl`, as yargs declares them.
 *
 * @packageDocumentation
 */
import type * as Yargs from 'yargs'
import * as Client from './client.ts'
import * as Limits from './limits.ts'
import * as Logs from './logs.ts'
import * as Manifests from './manifests.ts'
import * as Operations from './operations.ts'

type Parser = Yargs.Argv<Client.CommonOptions>
type Run = (work: () => number | Promise<number>) => void

/**
 * Adds every command to a parser.
 *
 * @param parser - The parser with the common options.
 * @param run - Runs a command and takes its exit code.
 * @returns The parser.
 */
export function addCommands (parser: Parser, run: Run): Parser {
  return parser
    .command('manifest', 'Work with manifests', sub => manifestCommands(sub, run))
    .command('zone', 'Take availability zones out of service and back', sub => drainCommands(sub, run, 'zone'))
    .command('instance', 'Take instances out of service and back', sub => drainCommands(sub, run, 'instance'))
    .command('explain [call-id]', 'Show limits, shares and why calls are refused; with logs, what became of a call or of all that failed', sub => sub
      .positional('call-id', { type: 'string', describe: 'Id of the caller\'s attempt; needs --logs' })
      .option('logs', { type: 'string', array: true, default: [] as string[], describe: 'Log files of gateways and agents' })
      .option('sample', { type: 'number', default: 0, describe: 'Without a call\'s id: so many failed calls drawn at random' })
      .option('seed', { type: 'number', default: 1, describe: 'Draws the sample' })
      .option('service', { type: 'string', describe: 'Only this service' })
      .option('workspace', { type: 'string', describe: 'Only this workspace' })
      .check(argv => argv.callId === undefined || argv.logs.length > 0 || 'a call\'s id needs --logs'), argv => {
      const { callId } = argv
      run(async () => argv.logs.length === 0 ? await Limits.explain(argv) : callId === undefined ? Logs.survey(argv) : Logs.explain({ ...argv, callId }))
    })
    .command('quarantine', 'Work with calls that crash endpoints', sub => quarantineCommands(sub, run))
    .command('status', 'Show endpoints, versions, drains and who lags', sub => sub
      .option('watch', { type: 'boolean', default: false, describe: 'Print again every second' }), argv => { run(async () => await Operations.status(argv)) })
}

function manifestCommands (parser: Parser, run: Run): Yargs.Argv<Client.CommonOptions> {
  const file = (sub: Parser) => sub.positional('file', { type: 'string', demandOption: true, describe: 'Manifest file, JSON or YAML' })
  return parser
    .command('validate <file>', 'Check a manifest file; stores nothing', file, argv => { run(() => Manifests.validate(argv)) })
    .command('commit <file>', 'Put a manifest into force', sub => file(sub)
      .option('expected-version', { type: 'number', describe: 'Refuse unless this version is in force; without it, the one in force when the command starts' })
      .option('wait', { type: 'boolean', default: false, describe: 'Show progress until it is in force and its endpoints are live' }), argv => { run(async () => await Manifests.commit(argv)) })
    .command('diff <file>', 'Compare a file with the manifest in force', sub => file(sub)
      .option('against', { type: 'number', describe: 'Compare with this version instead' }), argv => { run(async () => await Manifests.diff(argv)) })
    .command('show', 'Print the manifest in force', sub => sub
      .option('at-version', { type: 'number', describe: 'Print this version instead' }), argv => { run(async () => await Manifests.show(argv)) })
    .command('history', 'List accepted versions', sub => sub
      .option('limit-count', { type: 'number', default: 20, describe: 'Most versions listed' }), argv => { run(async () => await Manifests.history(argv)) })
    .demandCommand(1)
}

function drainCommands (parser: Parser, run: Run, what: 'zone' | 'instance'): Yargs.Argv<Client.CommonOptions> {
  const name = (sub: Parser) => sub.positional('name', { type: 'string', demandOption: true, describe: `Name of the ${what}` })
  return parser
    .command('drain <name>', `Take ${what === 'zone' ? 'a zone' : 'an instance'} out of service`, sub => name(sub)
      .option('force', { type: 'boolean', default: false, describe: 'Go on although calls would be refused' })
      .option('wait', { type: 'boolean', default: false, describe: 'Show progress until nothing runs there' }), argv => { run(async () => await Operations.drain({ ...argv, what, drained: true })) })
    .command('restore <name>', `Bring ${what === 'zone' ? 'a zone' : 'an instance'} back into service`, name, argv => { run(async () => await Operations.drain({ ...argv, what, drained: false, force: false, wait: false })) })
    .demandCommand(1)
}

function quarantineCommands (parser: Parser, run: Run): Yargs.Argv<Client.CommonOptions> {
  return parser
    .command('list', 'List suspects and quarantined calls', sub => sub, argv => { run(async () => await Limits.listQuarantine(argv)) })
    .command('lift <digest>', 'Let calls with a digest run again', sub => sub
      .positional('digest', { type: 'string', demandOption: true, describe: 'The start of a digest, or all' }), argv => { run(async () => Client.conclude(argv, await Limits.liftQuarantine(argv), 'lifted')) })
    .demandCommand(1)
}
