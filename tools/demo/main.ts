/**
 * The demo: `npm run demo [-- --deployment samlag]`; `npm run dev` leaves the system up.
 *
 * @packageDocumentation
 */
import yargs from 'yargs'
import * as TestKit from '../../testkit/index.ts'
import * as Steps from './steps.ts'
import * as System from './system.ts'

const SHAPES: Readonly<Record<string, TestKit.Shapes.Shape>> = { consortium: TestKit.Shapes.CONSORTIUM, samlag: TestKit.Shapes.SAMLAG }
const ORIGIN_BYTES_PER_SECOND = 8 * 1024 * 1024

const argv = yargs(process.argv.slice(2))
  .scriptName('demo')
  .option('deployment', { choices: Object.keys(SHAPES), default: 'consortium', describe: 'Which deployment to show' })
  .option('stay', { type: 'boolean', default: false, describe: 'Leave the system up after the first step' })
  .strict()
  .parseSync()

const shape = SHAPES[argv.deployment] ?? TestKit.Shapes.CONSORTIUM
const print = (line: string): void => { process.stdout.write(`${line}\n`) }

const startedMs = performance.now()
print(`Starting ${shape.name}: ${shape.zones.length} availability zones, ${shape.services.map(service => `${service.name} ${service.runnerCount}`).join(', ')}.`)
const system = await System.startSystem({ shape, originBytesPerSecond: ORIGIN_BYTES_PER_SECOND })
print(`${system.runners.length} endpoints, ${system.runners.length} agents and ${system.gateways.length} gateways are up.`)

const results: Array<{ title: string, held: boolean, figures: string }> = []
for (const step of argv.stay ? Steps.STEPS.slice(0, 1) : Steps.STEPS) {
  print(`\n${step.title}`)
  const result = await step.run(system, line => { print(`  ${line}`) }).then(
    figures => ({ title: step.title, held: true, figures }),
    (error: Error) => ({ title: step.title, held: false, figures: error.message }))
  results.push(result)
  print(`  ${result.held ? 'held' : 'FAILED'}: ${result.figures}`)
}

if (argv.stay) await stay()
else await conclude()

async function conclude (): Promise<void> {
  await system.stop()
  print('\nSummary')
  for (const result of results) print(`  ${result.held ? 'held  ' : 'FAILED'}  ${result.title}: ${result.figures}`)
  print(`  ${((performance.now() - startedMs) / 1000).toFixed(0)} s in all`)
  process.exit(results.every(result => result.held) ? 0 : 1)
}

async function stay (): Promise<void> {
  const engine = shape.services.find(service => service.kind === 'engine')
  const gateway = system.gateways[0]?.process.port ?? 0
  print('\nThe system is up. Call it:')
  print(`  curl -N -H 'x-fescue-workspace: ${shape.workspaces[0]?.name ?? ''}' -H 'accept: text/event-stream' -d '{"prompt":"note","maxTokens":20,"stream":true}' http://127.0.0.1:${gateway}${engine?.routes[0]?.path ?? ''}`)
  print('Operate it:')
  print(`  export FESCUE_GATEWAY=127.0.0.1:${gateway} FESCUE_TOKEN=${system.operatorToken}`)
  print('  node dist/fescuectl.js status')
  print('Stop it with Ctrl-C.')
  await new Promise(resolve => { process.once('SIGINT', resolve); process.once('SIGTERM', resolve) })
  await system.stop()
  process.exit(0)
}
