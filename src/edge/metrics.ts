/**
 * Metrics in the Prometheus text format.
 *
 * @packageDocumentation
 */
import * as Prom from 'prom-client'
import * as HttpServer from './httpServer.ts'
import * as Traffic from './traffic.ts'

/** The metrics of a process. */
export interface Metrics {
  /** Adds to a counter, created at its first use. */
  count: (name: string, labels?: Readonly<Record<string, string>>, amount?: number) => void
  /** Sets a gauge, created at its first use. */
  gauge: (name: string, value: number, labels?: Readonly<Record<string, string>>) => void
  /** Adds to a histogram of seconds, created at its first use. */
  observeSeconds: (name: string, seconds: number, labels?: Readonly<Record<string, string>>) => void
  route: HttpServer.Route
}

const BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30]

/**
 * Creates a registry of metrics and the route that serves it.
 *
 * @returns The metrics. Names carry the prefix `fescuespread_`.
 */
export function createMetrics (): Metrics {
  const registry = new Prom.Registry()
  const counters = new Map<string, Prom.Counter>()
  const gauges = new Map<string, Prom.Gauge>()
  const histograms = new Map<string, Prom.Histogram>()
  const options = (name: string, labels: object): { name: string, help: string, labelNames: string[], registers: Prom.Registry[] } =>
    ({ name: `fescuespread_${name}`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry] })
  const find = <Metric>(known: Map<string, Metric>, name: string, create: () => Metric): Metric => {
    const metric = known.get(name) ?? create()
    known.set(name, metric)
    return metric
  }
  const setTraffic = (): void => {
    for (const { side, path, receivedBytes, sentBytes, exchangeCount } of Traffic.rows()) {
      metrics.gauge('http_exchanges', exchangeCount, { side, path })
      metrics.gauge('http_bytes', receivedBytes, { side, path, direction: 'received' })
      metrics.gauge('http_bytes', sentBytes, { side, path, direction: 'sent' })
    }
  }
  const metrics: Metrics = {
    count: (name, labels = {}, amount = 1) => { find(counters, name, () => new Prom.Counter(options(name, labels))).inc(labels, amount) },
    gauge: (name, value, labels = {}) => { find(gauges, name, () => new Prom.Gauge(options(name, labels))).set(labels, value) },
    observeSeconds: (name, seconds, labels = {}) => {
      find(histograms, name, () => new Prom.Histogram({ ...options(name, labels), buckets: BUCKETS_SECONDS })).observe(labels, seconds)
    },
    route: {
      method: 'GET',
      path: '/metrics',
      handle: async (_request, response) => {
        setTraffic()
        response.writeHead(200, { 'content-type': registry.contentType })
        response.end(await registry.metrics())
      }
    }
  }
  return metrics
}
