/**
 * What operators have in force: routes, services, workspaces and limits.
 *
 * @packageDocumentation
 */

/** Whether the calls of a route may be repeated, and how they are answered. */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream'

/** A route: the calls to a host and a path prefix, and what is promised to them. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** The services that serve the route, with their shares of its calls. */
  readonly targets: ReadonlyArray<{ readonly service: string, readonly weight: number }>
  /** Endpoints on which one call may run. */
  readonly runLimitCount: number
  /** Longest time that a call is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer has to begin to be of full use, in milliseconds. */
  readonly goalMs: number
  /** Longest pause between two events of a stream that is still of full use, in milliseconds. */
  readonly pauseGoalMs: number
  /** Rank of the route's calls, 0 first. */
  readonly priority: number
  /** Whether calls need no key. */
  readonly anonymous: boolean
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean
  /** Regions in which calls may be served; empty for any. */
  readonly regions: readonly string[]
}

/** How a model engine batches and how fast it reads and writes. */
export interface Engine {
  /** Calls that run at once. */
  readonly slotCount: number
  /** Time of one step of a batch, in milliseconds. */
  readonly stepMs: number
  /** Further time of a step for each writing call, in milliseconds. */
  readonly stepMsPerCall: number
  /** Further time of a step for each thousand tokens of context, in milliseconds. */
  readonly stepMsPerThousandTokens: number
  /** Steps of one pass. */
  readonly passStepCount: number
  readonly readTokensPerMs: number
  /** Time for each million pairs of a prompt's tokens, in milliseconds. */
  readonly pairMsPerMillion: number
  /** Prompt tokens that one pass reads at most. */
  readonly readLimitTokens: number
  readonly usualPromptTokens: number
  readonly usualAnswerTokens: number
  readonly layerCount: number
  readonly chunkCount: number
  /** The models that the engine may hold. */
  readonly models: readonly string[]
}

/** A service: what its endpoints have in common. */
export interface Service {
  readonly name: string
  /** Calls that a cold endpoint bears in a second; 0 for no bound. */
  readonly coldCallsPerSecond: number
  readonly engine: Engine | undefined
  /** Where weights come from, for the service that is their origin. */
  readonly originAddress: string | undefined
}

/** A workspace and the keys of its callers. */
export interface Workspace {
  readonly name: string
  readonly keys: readonly string[]
  /** Goes before the route's priority. */
  readonly priority: number | undefined
  /** Regions in which its calls may be served; empty for any. */
  readonly regions: readonly string[]
}

/** What callers may send and how long they may take. */
export interface Limits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A version of everything that operators set. */
export interface Deployment {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  /** Undefined where callers need no keys. */
  readonly workspaces: readonly Workspace[] | undefined
  readonly limits: Limits
}

/** A change that operators made. */
export type OperatorChange =
  | { readonly kind: 'deployed', readonly deployment: Deployment }
  | { readonly kind: 'zoneDrained', readonly zone: string, readonly drained: boolean }
  | { readonly kind: 'versionNamed', readonly model: string, readonly version: number }
  | { readonly kind: 'unreadable', readonly key: string, readonly reason: string }

/** A deployment prepared for look-ups. */
export interface DeploymentIndex {
  readonly deployment: Deployment
  /**
   * Finds the route of a call.
   *
   * @param host - The host that the caller named, without port.
   * @param path - The path without its query.
   * @returns The route with the longest matching prefix.
   */
  routeOf: (host: string, path: string) => Route | undefined
  workspaceOf: (key: string) => Workspace | undefined
  serviceOf: (name: string) => Service | undefined
}

/**
 * Prepares a deployment for look-ups.
 *
 * @param deployment - The deployment.
 * @returns Its index.
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
  return {
    deployment,
    routeOf: (host, path) => routes.get(host)?.find(route => path.startsWith(route.prefix)),
    workspaceOf: key => workspaces.get(key),
    serviceOf: name => services.get(name)
  }
}

/**
 * Chooses one of a route's services by their weights.
 *
 * @param route - The route.
 * @param draw - A random number in [0, 1).
 * @returns The service's name.
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
