/**
 * A few processes' decisions of control in virtual time, their messages carried by a table of links.
 *
 * @packageDocumentation
 */
import * as Control from '../src/control/index.ts'
import * as Core from '../src/core/index.ts'
import type * as Schemas from '../src/schema/index.ts'

type Command = Control.Messages.Command
type Input = Control.Messages.Input

/** One process of a group. */
export interface GroupProcess {
  readonly id: string
  readonly zone: string
  readonly tables: Control.Tables.Tables
  readonly violations: Core.Invariants.Violation[]
  /** Sentences of its decision log. */
  readonly sentences: string[]
  readCount: number
  push: (input: Input) => void
  adopt: (document: Schemas.Control.Document, origin: Control.Layout.Origin) => void
}

/** A group of processes. */
export interface Group {
  readonly processes: GroupProcess[]
  /** The documents in the store. */
  readonly store: Map<Schemas.Control.DocumentKind, Schemas.Control.Document>
  /** What the instance list shows. */
  readonly listed: Map<string, Schemas.Platform.Instance>
  readonly faults: {
    storeDown: boolean
    /** Tells whether a message from one process to another arrives. */
    carries: (from: string, to: string) => boolean
  }
  nowMs: () => number
  add: (id: string, zone: string, region: string) => GroupProcess
  /** Ends a process without a word. */
  kill: (id: string) => void
  /** Stops a process's ticks and messages, or lets it go on. */
  pause: (id: string, paused: boolean) => void
  /** Advances time; ends early when a condition holds, and tells the time that passed. */
  run: (limitMs: number, until?: () => boolean) => number
}

const STEP_MS = 10
const HOP_MS = 2
const TIMEOUT_MS = 800
const BEAT_STEPS = 10

/**
 * Creates a group with no process.
 *
 * @param seed - Seeds the decisions.
 * @returns The group.
 */
export function createGroup (seed: number): Group {
  const random = Core.Random.createRandom(seed)
  const processes = new Map<string, GroupProcess & { tick: () => void, inputs: Input[], paused: boolean }>()
  const events: Array<{ atMs: number, order: number, run: () => void }> = []
  const group: Group['faults'] = { storeDown: false, carries: () => true }
  const store: Group['store'] = new Map()
  const listed: Group['listed'] = new Map()
  let nowMs = 0
  let order = 0
  const later = (delayMs: number, run: () => void): void => { events.push({ atMs: nowMs + delayMs, order: order++, run }) }
  const versions = (): Schemas.Control.Versions => ({ ...Control.Documents.NO_VERSIONS, ...Object.fromEntries([...store.values()].map(document => [document.kind, document.version])) })
  const reaches = (from: string, to: string): boolean => processes.get(to)?.paused === false && processes.get(from)?.paused === false && group.carries(from, to)

  /** Carries a request to a process and its answer back; undefined stands for a timeout. */
  const ask = <Answer>(from: string, to: string, handle: (process: GroupProcess) => Answer, done: (answer: Answer | undefined) => void): void => {
    later(HOP_MS, () => {
      const process = processes.get(to)
      if (process === undefined || !reaches(from, to)) { later(TIMEOUT_MS, () => { done(undefined) }); return }
      const answer = handle(process)
      later(HOP_MS, () => { if (reaches(to, from)) done(answer); else later(TIMEOUT_MS, () => { done(undefined) }) })
    })
  }
  const hear = (message: Schemas.Membership.Gossip) => (process: GroupProcess): Schemas.Membership.Gossip => {
    process.push({ kind: 'gossipHeard', gossip: message })
    processes.get(process.id)?.tick()
    return Control.Gossip.compose(process.tables, message.sender.instanceId)
  }
  const heard = (process: GroupProcess, gossip: Schemas.Membership.Gossip | undefined): void => { if (gossip !== undefined) process.push({ kind: 'gossipHeard', gossip }) }

  const handlersOf = (process: GroupProcess): Core.Loop.Handlers<Command> => ({
    gossip: ({ memberId, purpose, message }) => {
      ask(process.id, memberId, hear(message), gossip => {
        heard(process, gossip)
        process.push({ kind: 'gossipEnded', memberId, purpose, answered: gossip !== undefined })
      })
    },
    relay: ({ memberId, via, message }) => {
      let relayed: Schemas.Membership.Gossip | undefined
      ask(process.id, via.instanceId, () => { ask(via.instanceId, memberId, hear(message), gossip => { relayed = gossip }); return true }, relayAnswered => {
        later(TIMEOUT_MS + 4 * HOP_MS, () => {
          heard(process, relayed)
          process.push({ kind: 'relayEnded', memberId, relayAnswered: relayAnswered === true, targetAnswered: relayed !== undefined })
        })
      })
    },
    pull: ({ memberId, versions }) => {
      ask(process.id, memberId, source => source.tables.held.newerThan(versions), documents => {
        for (const document of documents ?? []) process.adopt(document, 'peer')
        process.push({ kind: 'pullEnded', memberId })
      })
    },
    readStore: () => {
      process.readCount++
      const down = group.storeDown
      later(HOP_MS, () => {
        if (down) { process.push({ kind: 'storeFailed' }); return }
        for (const document of store.values()) process.adopt(document, 'store')
        process.push({ kind: 'storeRead', versions: versions() })
      })
    },
    readList: () => { later(HOP_MS, () => { process.push({ kind: 'listRead', instances: [...listed.values()], sizeBytes: 150 * listed.size }) }) },
    tellInstances: () => {}
  })
  const add: Group['add'] = (id, zone, region) => {
    const identity: Control.Tables.Identity = { instanceId: id, kind: 'agent', zone, region, incarnation: id }
    const tables = Control.Tables.createTables(identity, 500, 1_000 + Math.round(nowMs))
    const step = Core.Loop.createStepper<Control.Tables.Tables, Input, Command>(tables, Control.Systems.SYSTEMS, random)
    const place: Schemas.Platform.Instance = { instanceId: id, kind: 'agent', zone, region, host: '127.0.0.1', port: 1, state: 'live' }
    const process: GroupProcess & { tick: () => void, inputs: Input[], paused: boolean } = {
      id,
      zone,
      tables,
      violations: [],
      sentences: [],
      readCount: 0,
      inputs: [],
      paused: false,
      push: input => { process.inputs.push(input) },
      adopt: (document, origin) => { if (tables.held.adopt(document)) process.push({ kind: 'adopted', document, origin }) },
      tick: () => {
        if (process.paused) return
        const result = step(process.inputs.splice(0), nowMs)
        process.violations.push(...result.violations)
        process.sentences.push(...result.decisions.map(decision => decision.sentence))
        for (const command of result.commands) Core.Loop.dispatch(handlers, command)
      }
    }
    const handlers = handlersOf(process)
    processes.set(id, process)
    listed.set(id, place)
    process.push({ kind: 'announced', place })
    return process
  }
  let stepCount = 0
  const advance = (): void => {
    nowMs += STEP_MS
    stepCount++
    for (;;) {
      const due = events.filter(event => event.atMs <= nowMs).sort((a, b) => a.atMs - b.atMs || a.order - b.order)
      if (due.length === 0) break
      for (const event of due) {
        events.splice(events.indexOf(event), 1)
        event.run()
      }
    }
    for (const process of processes.values()) if (process.inputs.length > 0 || stepCount % BEAT_STEPS === 0) process.tick()
  }
  return {
    get processes () { return [...processes.values()] },
    store,
    listed,
    faults: group,
    nowMs: () => nowMs,
    add,
    kill: id => { processes.delete(id) },
    pause: (id, paused) => { const process = processes.get(id); if (process !== undefined) process.paused = paused },
    run: (limitMs, until = () => false) => {
      const startedMs = nowMs
      for (;;) {
        if (nowMs - startedMs >= limitMs || until()) return nowMs - startedMs
        advance()
      }
    }
  }
}

/**
 * Writes the message that a process would send to one that it does not know.
 *
 * @param process - The process.
 * @returns The message.
 */
export function messageOf (process: GroupProcess): Schemas.Membership.Gossip {
  return Control.Gossip.compose(process.tables, '')
}
