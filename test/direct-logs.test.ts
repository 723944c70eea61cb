import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as Fs from 'node:fs'
import * as Path from 'node:path'
import * as LogLimits from '../src/edge/logLimits.ts'
import * as Schemas from '../src/schema/index.ts'

/** Names that only the platform's pages use, and that only the adapter may know. */
const PLATFORM_NAMES = [
  'X-Fescuespread', 'x-fescuespread', 'FESCUESPREAD_SETTINGS', 'rows-get', 'rows-feed', 'rows-tx', 'blob-', 'stage-put', 'stage-get', 'schema_version', 'after_revision',
  'max_attempts', 'latency_goal_ms', 'gap_target_ms', 'session_affinity', 'allowed_regions', 'api_keys', 'traffic_split', 'route_type', 'cold_remaining_ms',
  'switch_mode', 'sample_count', 'kv_used', 'non_idempotent', 'At-Server', 'evacuate/', 'internal_ports', 'wait_ms'
]

function filesOf (folder: string): string[] {
  return Fs.readdirSync(folder, { withFileTypes: true }).flatMap(entry =>
    entry.isDirectory() ? filesOf(Path.join(folder, entry.name)) : [Path.join(folder, entry.name)])
}

describe('LogLimits', () => {
  it('bounds each kind by itself and counts what it leaves out', () => {
    const limits = LogLimits.createLogLimits(3)
    const admitted = Array.from({ length: 10 }, () => limits.admit('sent', 0)).filter(Boolean).length
    expect([admitted, limits.admit('ended', 0)]).toEqual([3, true])
    expect([limits.takeLeftOut(500), limits.takeLeftOut(1_000), limits.takeLeftOut(1_000)]).toEqual([undefined, { sent: 7 }, undefined])
    expect(limits.admit('sent', 1_000)).toEqual(true)
  })
})

describe('LogLines', () => {
  it('describe every line that the direct path writes', () => {
    const sources = ['src/ingress', 'src/follow', 'src/filling', 'platform'].flatMap(filesOf).map(file => Fs.readFileSync(file, 'utf8')).join('\n')
    const written = [...sources.matchAll(/log\('(\w+)', (?:[^'{]*'[^']+\.'(?: :)?){1,2}/g)].flatMap(([text, prefix]) =>
      [...text.matchAll(/'([A-Z][^']+\.)'/g)].map(([, sentence]) => `${prefix ?? ''}: ${sentence ?? ''}`))
    expect(written.length > 30).toEqual(true)
    expect(written.filter(line => Schemas.LogLines.LINES[line] === undefined)).toEqual([])
  })

  it('refuse a field that is not described', () => {
    expect(Schemas.LogLines.problemsOf('agent: Agent stopped.', { more: 1 }).length).toEqual(1)
    expect(Schemas.LogLines.problemsOf('agent: Agent sleeps.', {}).length).toEqual(1)
  })

  it('are documented as they are', () => {
    expect(Fs.readFileSync('docs/LOGS.md', 'utf8')).toEqual(Schemas.LogLines.describe())
  })
})

describe('the platform\'s names', () => {
  it('stand in the adapter only', () => {
    const found = filesOf('src').flatMap(file => {
      const text = Fs.readFileSync(file, 'utf8')
      return PLATFORM_NAMES.filter(name => text.includes(name)).map(name => `${file}: ${name}`)
    })
    expect(found).toEqual([])
  })
})
