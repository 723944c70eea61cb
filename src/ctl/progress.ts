/**
 * Progress of work that takes a while: a manifest coming into force, a drain emptying.
 *
 * @packageDocumentation
 */
import * as Client from './client.ts'

type Options = Client.CommonOptions
type Status = Awaited<ReturnType<Client.GatewayClient['status']['mutate']>>

/** What waiting looks at. */
interface Goal {
  readonly what: string
  /** Tells how far it is, as done and wanted counts. */
  readonly progressOf: (status: Status) => { readonly doneCount: number, readonly wantedCount: number }
}

const POLL_MS = 500

/**
 * Waits until a manifest is in force at every process that answers, its plan is made, and its endpoints are live.
 *
 * @param options - Common options; the time for each call bounds the wait.
 * @param version - The manifest's version.
 * @returns The exit code.
 */
export async function waitForManifest (options: Options, version: number): Promise<number> {
  const inForce = await waitFor(options, {
    what: `version ${version} in force`,
    progressOf: status => progress([...status.gateways, ...status.endpoints], report => report.versions.manifest >= version)
  })
  if (inForce !== Client.EXIT.ok) return inForce
  const planned = await waitFor(options, {
    what: `plan of version ${version} in force`,
    progressOf: status => ({ doneCount: status.plannedManifestVersion >= version ? 1 : 0, wantedCount: 1 })
  })
  if (planned !== Client.EXIT.ok) return planned
  return await waitFor(options, {
    what: 'endpoints live',
    progressOf: status => progress(status.assigned, report => report.state === 'live' && report.upToDate)
  })
}

/**
 * Waits until nothing runs any more in a zone or at an instance.
 *
 * @param options - Common options; the time for each call bounds the wait.
 * @param what - Whether a zone or an instance.
 * @param name - Its name.
 * @returns The exit code.
 */
export async function waitForDrain (options: Options, what: 'zone' | 'instance', name: string): Promise<number> {
  return await waitFor(options, {
    what: `endpoints of ${name} empty`,
    progressOf: status => progress(
      status.endpoints.filter(report => (what === 'zone' ? report.zone : report.instanceId) === name),
      report => report.activeCount + report.queuedCount === 0)
  })
}

async function waitFor (options: Options, goal: Goal): Promise<number> {
  const client = Client.connect(options)
  const endMs = performance.now() + options.timeoutMs
  let printed = ''
  for (;;) {
    const { doneCount, wantedCount } = goal.progressOf(await client.status.mutate())
    const line = `${doneCount} of ${wantedCount}: ${goal.what}`
    if (line !== printed) process.stderr.write(`${line}\n`)
    printed = line
    if (doneCount === wantedCount) return Client.EXIT.ok
    if (performance.now() > endMs) return Client.EXIT.failed
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}

function progress<Report> (reports: readonly Report[], isDone: (report: Report) => boolean): { doneCount: number, wantedCount: number } {
  return { doneCount: reports.filter(isDone).length, wantedCount: reports.length }
}
