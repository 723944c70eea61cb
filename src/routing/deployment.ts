/**
 * The configuration that operators have deployed: routes, services, workspaces and limits.
 *
 * @packageDocumentation
 */
import * as Ranks from './ranks.ts'

/** Whether the calls of a route may be retried, and how they are answered. */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream'

/** A route: which calls it matches by host and path prefix, and how they are served. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** The services that serve the route, with their shares of its calls. */
  readonly targets: ReadonlyArray<{ readonly service: string, readonly weight: number }>
  /** Maximum number of endpoints on which one call may run. */
  readonly runLimitCount: number
  /** Maximum duration of a call, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer should begin, in milliseconds. */
  readonly goalMs: number
  /** Maximum pause that is acceptable between two events of a stream, in milliseconds. */
  readonly pauseGoalMs: number
  /** Priority of the route's calls; 0 is the highest. */
  readonly priority: number
  /** Whether calls are accepted without a key. */
  readonly anonymous: boolean
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly resumable: boolean
  /** Regions in which calls may be served; empty for any. */
  readonly regions: readonly string[]
}

/** Batching parameters of a model engine, and how fast it reads prompts and writes answers. */
export interface Engine {
  /** Maximum number of calls that run at once. */
  readonly slotCount: number
  /** Time of one step of a batch, in milliseconds. */
  readonly stepMs: number
  /** Additional time of a step for each call that is writing its answer, in milliseconds. */
  readonly stepMsPerCall: number
  /** Additional time of a step for each thousand tokens of context, in milliseconds. */
  readonly stepMsPerThousandTokens: number
  /** Number of steps in one pass. */
  readonly passStepCount: number
  readonly readTokensPerMs: number
  /** Time for each million pairs of tokens of a prompt, in milliseconds. */
  readonly pairMsPerMillion: number
  /** Maximum number of prompt tokens that one pass reads. */
  readonly readLimitTokens: number
  readonly usualPromptTokens: number
  readonly usualAnswerTokens: number
  readonly layerCount: number
  readonly chunkCount: number
  /** The models that the engine may hold. */
  readonly models: readonly string[]
}

/** A service: the settings that its endpoints share. */
export interface Service {
  readonly name: string
  /** Maximum number of calls per second to a cold endpoint; 0 for no limit. */
  readonly coldCallsPerSecond: number
  readonly engine: Engine | undefined
  /** Address of the origin of weights; set only for the service that is the origin. */
  readonly originAddress: string | undefined
}

/** A workspace and the keys of its callers. */
export interface Workspace {
  readonly name: string
  readonly keys: readonly string[]
  /** Overrides the route's priority. */
  readonly priority: number | undefined
  /** Regions in which the workspace's calls may be served; empty for any. */
  readonly regions: readonly string[]
}

/** Limits on the size of requests and on the time that callers may take to send them. */
export interface Limits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A version of the complete configuration. */
export interface Deployment {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  /** Undefined if callers need no keys. */
  readonly workspaces: readonly Workspace[] | undefined
  readonly limits: Limits
}

/** A change that operators made. */
export type OperatorChange =
  | { readonly kind: 'deployed', readonly deployment: Deployment }
  | { readonly kind: 'zoneDrained', readonly zone: string, readonly drained: boolean }
  | { readonly kind: 'versionNamed', readonly model: string, readonly version: number }
  | { readonly kind: 'unreadable', readonly key: string, readonly reason: string }

/** A deployment indexed for lookups. */
export interface DeploymentIndex {
  readonly deployment: Deployment
  /**
   * Finds the route of a call.
   *
   * @param host - The host from the request, without port.
   * @param path - The path without its query.
   * @returns The route with the longest matching prefix; undefined if none matches.
   */
  routeOf: (host: string, path: string) => Route | undefined
  workspaceOf: (key: string) => Workspace | undefined
  serviceOf: (name: string) => Service | undefined
  /** Returns the ranks of the calls of a service, the most urgent first; empty if they have none. */
  ranksOf: (service: string) => readonly Ranks.Priorities[]
}

/**
 * Indexes a deployment for lookups.
 *
 * @param deployment - The deployment.
 * @returns The index.
 */
export function createIndex (deployment: Deployment): DeploymentIndex {
  const routes = new Map<string, Route[]>()
  for (const route of deployment.routes) {
    const hostRoutes = routes.get(route.host) ?? []
    hostRoutes.push(route)
    routes.set(route.host, hostRoutes)
  }
  for (const hostRoutes of routes.values()) hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length)
  const workspaces = new Map((deployment.workspaces ?? []).flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)))
  const services = new Map(deployment.services.map(service => [service.name, service]))
  const ranks = ranksByService(deployment)
  return {
    deployment,
    routeOf: (host, path) => routes.get(host)?.find(route => path.startsWith(route.prefix)),
    workspaceOf: key => workspaces.get(key),
    serviceOf: name => services.get(name),
    ranksOf: service => ranks.get(service) ?? []
  }
}

/** Puts the priorities of the calls of each service with an engine in order; other services have no queue to be ordered. */
function ranksByService ({ routes, services, workspaces = [] }: Deployment): ReadonlyMap<string, readonly Ranks.Priorities[]> {
  const workspacePriorities = workspaces.map(({ priority }) => priority)
  return new Map(services.filter(({ engine }) => engine !== undefined).map(({ name }) => {
    const routePriorities = routes.filter(({ targets }) => targets.some(({ service }) => service === name)).map(({ priority }) => priority)
    return [name, Ranks.orderOf(routePriorities, workspacePriorities)]
  }))
}

/**
 * Chooses one of a route's services at random, in proportion to their weights.
 *
 * @param route - The route.
 * @param draw - A random number in [0, 1).
 * @returns The name of the service; empty if the route has none.
 */
export function chooseTarget (route: Route, draw: number): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let remainingWeight = draw * total
  for (const target of route.targets) {
    remainingWeight -= target.weight
    if (remainingWeight < 0) return target.service
  }
  return route.targets[0]?.service ?? ''
}
