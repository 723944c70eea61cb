/**
 * Follows the operators' table: the deployment, drained zones and versions of weights in force.
 *
 * @packageDocumentation
 */
import * as Core from '../core/index.ts'
import type * as Routing from '../routing/index.ts'
import * as Follower from './follower.ts'
import type * as Rows from './rows.ts'

/** Options of `followOperators`. */
export interface OperatorsOptions extends Pick<Follower.FollowerOptions, 'store' | 'askPeer' | 'clock' | 'storeClock' | 'readings' | 'random' | 'metrics' | 'log'> {
  /** Name of the table that operators write. */
  readonly table: string
  /** Mean time that a read waits for a change, in milliseconds. */
  readonly waitMs: number
  /** Decodes a row; undefined for a row that holds no change. */
  readonly changeOf: (row: Rows.Row) => Routing.Deployment.OperatorChange | undefined
  /** Called with a deployment that is newer than the one in force. */
  readonly onDeployed?: (deployment: Routing.Deployment.Deployment) => void
  readonly versions: Routing.Versions.Versions
  /** Called after each batch of rows. */
  readonly onChanged?: () => void
}

/** What is in force by the operators' changes. */
export interface Operators {
  readonly follower: Follower.Follower
  /** The deployment in force; undefined before one is known. */
  deployment: () => Routing.Deployment.Deployment | undefined
  readonly drainedZones: ReadonlySet<string>
}

/** Maximum wait of a read from a neighbour, in milliseconds: changes have to be in force within seconds, also if a neighbour freezes. */
export const NEIGHBOUR_WAIT_MS = 2_000
/** Mean time that a read of the store waits for a change, in milliseconds. If all connections of all processes go silent, the end of the wait alone reveals it, and changes have to be in force within seconds. Few gateways of a region read the table from the store. */
export const STORE_WAIT_MS = 1_500
/** Mean time that a read of a process that never reads the store waits for a change, in milliseconds. */
export const INDIRECT_WAIT_MS = 8_000

/**
 * Starts following the operators' table. Deployments and versions are never replaced by older ones.
 *
 * @param options - The table, its decoder and the handlers of changes.
 * @returns What is in force, kept up to date.
 */
export function followOperators (options: OperatorsOptions): Operators {
  const { clock, storeClock, readings, versions, log, table } = options
  const drainedZones = new Set<string>()
  let deploymentInForce: Routing.Deployment.Deployment | undefined
  /** Where the current batch of rows came from, and the revision of the current row. */
  let context: Follower.RowsContext & { readonly revision: number } = { fromStore: true, isFirst: true, madeAtMs: undefined, before: { completeAtMs: -Infinity }, revision: 0 }

  const handlers: Core.Loop.Handlers<Routing.Deployment.OperatorChange> = {
    deployed: ({ deployment }) => {
      const versionInForce = deploymentInForce?.version
      if (versionInForce !== undefined && deployment.version <= versionInForce) return
      deploymentInForce = deployment
      options.onDeployed?.(deployment)
      log('control', 'Deployment in force.', { version: deployment.version, versionBefore: versionInForce, routeCount: deployment.routes.length, workspaceCount: deployment.workspaces?.length })
    },
    zoneDrained: ({ zone, drained }) => {
      if (drained) drainedZones.add(zone)
      else drainedZones.delete(zone)
      log('control', drained ? 'Zone taken out of service.' : 'Zone back in service.', { zone })
    },
    versionNamed: ({ model, version }) => {
      const { isFirst, madeAtMs: namedAtMs, before, revision } = context
      const notBeforeMs = readings.notBeforeMs(revision)
      if (!versions.addNaming({ model, version, revision, namedAtMs, notBeforeMs }, before)) return
      log('weights', 'Version named.', { model, version, catchingUp: isFirst, ...(namedAtMs === undefined ? {} : { sinceNamedMs: Math.round(storeClock.now() - namedAtMs) }) })
    },
    unreadable: ({ key, reason }) => { log('control', 'Change not readable.', { key, reason }) }
  }
  const follower = Follower.createFollower({
    store: options.store,
    askPeer: options.askPeer,
    clock,
    storeClock,
    readings,
    random: options.random,
    ...(options.metrics === undefined ? {} : { metrics: options.metrics }),
    log,
    table,
    waitMs: () => options.waitMs,
    onRows: (rows, rowsContext) => {
      for (const row of rows) {
        context = { ...rowsContext, revision: row.revision }
        const change = options.changeOf(row)
        if (change !== undefined) Core.Loop.dispatch(handlers, change)
      }
      options.onChanged?.()
    }
  })
  return { follower, deployment: () => deploymentInForce, drainedZones }
}
