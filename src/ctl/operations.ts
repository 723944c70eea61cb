/**
 * Commands that show the system and take parts of it out of service and back.
 *
 * @packageDocumentation
 */
import * as Control from '../control/index.ts'
import * as Client from './client.ts'
import * as Progress from './progress.ts'

type Options = Client.CommonOptions

const WATCH_MS = 1_000

/**
 * Runs `status`.
 *
 * @param options - Common options and whether to print again and again.
 * @returns The exit code.
 */
export async function status (options: Options & { watch: boolean }): Promise<number> {
  do {
    await printStatus(options)
    if (options.watch) await new Promise(resolve => setTimeout(resolve, WATCH_MS))
  } while (options.watch)
  return Client.EXIT.ok
}

/**
 * Runs `zone drain`, `zone restore`, `instance drain` and `instance restore`.
 *
 * @param options - Common options, what to take out or bring back, and whether to wait until it is empty.
 * @returns The exit code.
 */
export async function drain (options: Options & { what: 'zone' | 'instance', name: string, drained: boolean, force: boolean, wait: boolean }): Promise<number> {
  const { what, name, drained, force, wait } = options
  const answer = await Client.connect(options).drain.mutate({ what, name, drained, force })
  for (const shortfall of answer.shortfalls ?? []) process.stderr.write(`${Control.DrainCheck.describe(shortfall)}\n`)
  const code = Client.conclude(options, answer, `${what} ${name} is ${drained ? 'out of' : 'back in'} service (drains version ${answer.version})`)
  return answer.accepted && wait ? await Progress.waitForDrain(options, what, name) : code
}

async function printStatus (options: Options): Promise<void> {
  const shown = await Client.connect(options).status.mutate()
  Client.print(options, shown, [
    ...shown.gateways.map(report => [report.instanceId, report.zone, 'gateway', `calls ${report.activeCount}`, `manifest ${report.versions.manifest}`].join('\t')),
    ...shown.endpoints.map(report => [
      report.instanceId,
      report.zone,
      report.service,
      report.state,
      `${report.modelName ?? '-'}@${report.modelVersion ?? '-'}`,
      `chunks ${report.heldChunkCount}/${report.wantedChunkCount}`,
      `active ${report.activeCount}/${report.limitCount}`,
      `manifest ${report.versions.manifest}`
    ].join('\t')),
    `drained zones: ${listOf(shown.drains.zones)}`,
    `drained instances: ${listOf(shown.drains.instanceIds)}`,
    `lagging: ${listOf(shown.laggingInstanceIds)}`,
    `silent: ${listOf(shown.silentInstanceIds)}`
  ])
}

function listOf (names: readonly string[]): string {
  return names.join(', ') || 'none'
}
