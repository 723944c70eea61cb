/**
 * The commands that show limits, shares and the quarantine.
 *
 * @packageDocumentation
 */
import type * as Changes from '../gateway/changes.ts'
import type * as Schemas from '../schema/index.ts'
import * as Client from './client.ts'

type Options = Client.CommonOptions

/**
 * Runs `explain`.
 *
 * @param options - Common options, and the service and workspace to show; all without them.
 * @returns The exit code.
 */
export async function explain (options: Options & { service?: string, workspace?: string }): Promise<number> {
  const { answers, silentInstanceIds } = await Client.connect(options).explain.mutate({ service: options.service })
  const endpoints = answers.map(answer => ({ ...answer, shares: answer.shares.filter(share => options.workspace === undefined || share.workspace === options.workspace) }))
  Client.print(options, { endpoints, silentInstanceIds }, [
    ...endpoints.flatMap(linesOf),
    `silent: ${silentInstanceIds.join(', ') || 'none'}`
  ])
  return Client.EXIT.ok
}

/**
 * Runs `quarantine list`.
 *
 * @param options - Common options.
 * @returns The exit code.
 */
export async function listQuarantine (options: Options): Promise<number> {
  const shown = await Client.connect(options).quarantine.mutate()
  Client.print(options, shown, shown.entries.length === 0
    ? ['nothing is quarantined']
    : shown.entries.map(entry => [entry.digest, entry.service, entry.suspect === true ? 'suspect' : 'quarantined', `crashes ${entry.crashCount}`, `until ${new Date(entry.expiresAtMs).toISOString()}`].join('\t')))
  return Client.EXIT.ok
}

/**
 * Runs `quarantine lift`.
 *
 * @param options - Common options and the start of a digest, or `all`.
 * @returns The gateway's answer.
 */
export async function liftQuarantine (options: Options & { digest: string }): Promise<Changes.ChangeAnswer> {
  return await Client.connect(options).liftQuarantine.mutate({ digest: options.digest })
}

function linesOf (endpoint: Schemas.Explain.EndpointExplanation): string[] {
  const { instanceId, zone, service, limitCount, ceilingCount, phase, limitReason, runningCount, queuedCount } = endpoint
  return [
    [instanceId, zone, service, `limit ${limitCount}/${ceilingCount}`, phase, `running ${runningCount}`, `queued ${queuedCount}`, limitReason].join('\t'),
    ...endpoint.shares.map(share => {
      const refused = Object.entries(share.refusedCounts).map(([code, count]) => `${code} ${count}`).join(', ') || 'none'
      const last = share.lastRefusal === undefined ? '' : `last ${Math.round(share.lastRefusal.ageMs / 1_000)} s ago: ${share.lastRefusal.reason}`
      return ['', share.workspace, `weight ${share.weight}`, `share ${share.shareCount.toFixed(1)}`, `running ${share.runningCount}`, `queued ${share.queuedCount}`, `admitted ${share.admittedCount}`, `refused: ${refused}`, last].join('\t')
    })
  ]
}
