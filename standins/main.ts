/**
 * Starts one stand-in as a process: `npm run standin -- KIND [--flags]`. Prints its port as JSON.
 *
 * @packageDocumentation
 */
import yargs from 'yargs'
import * as StandIns from './index.ts'

const STARTERS: Readonly<Record<string, (options: any) => Promise<{ readonly port: number }>>> = {
  table: StandIns.TableService.createTableService,
  objects: StandIns.ObjectStore.createObjectStore,
  weights: StandIns.WeightSource.createWeightSource,
  instances: StandIns.InstanceList.createInstanceList,
  engine: StandIns.Engine.createEngine,
  plain: StandIns.PlainService.createPlainService,
  passthrough: StandIns.PassThrough.createPassThrough
}

const argv = yargs(process.argv.slice(2))
  .scriptName('standin')
  .usage('$0 KIND [options]\n\nKinds: table, objects, weights, instances, engine, plain, passthrough')
  .option('port', { type: 'number', default: 0, describe: 'Port to listen on; 0 for any' })
  .option('seed', { type: 'number', default: 1, describe: 'Seed of its faults' })
  .option('rate-bytes-per-second', { type: 'number', describe: 'weights: rate of the link' })
  .option('corrupt-share', { type: 'number', describe: 'weights: share of chunks sent corrupted' })
  .option('lag-ms', { type: 'number', describe: 'instances: lag of the list' })
  .option('capacity-count', { type: 'number', describe: 'engine: sequences at full speed' })
  .option('cold-capacity-count', { type: 'number', describe: 'engine: sequences borne while cold' })
  .option('cold-ms', { type: 'number', describe: 'engine: time cold after a load' })
  .option('token-ms', { type: 'number', describe: 'engine: time for a token' })
  .option('fencing', { type: 'boolean', describe: 'engine: refuse old fencing numbers' })
  .option('prefill-ms', { type: 'number', describe: 'engine: time until the first token' })
  .option('cached-prefix-count', { type: 'number', describe: 'engine: prefixes that its cache holds' })
  .option('cache-event-lag-ms', { type: 'number', describe: 'engine: how late cache events are' })
  .option('lose-cache-event-share', { type: 'number', describe: 'engine: share of cache events lost' })
  .option('restart-ms', { type: 'number', describe: 'engine: time away after a crash' })
  .option('poison', { type: 'string', describe: 'engine: prompt text that crashes it' })
  .option('target-port', { type: 'number', describe: 'passthrough: port of the server behind it' })
  .option('work-ms', { type: 'number', describe: 'plain: time for an execution' })
  .demandCommand(1)
  .strictOptions()
  .parseSync()

const starter = STARTERS[String(argv._[0])]
if (starter === undefined) {
  process.stderr.write(`standin: unknown kind "${String(argv._[0])}"; allowed: ${Object.keys(STARTERS).join(', ')}\n`)
  process.exit(2)
}
const standIn = await starter(argv)
process.stdout.write(`${JSON.stringify({ port: standIn.port })}\n`)
