/**
 * The program `fescuespread-agent`.
 *
 * @packageDocumentation
 */
import * as Effect from 'effect/Effect'
import * as Agent from '../../agent/index.ts'
import * as Edge from '../../edge/index.ts'

const settings = Edge.Settings.read('fescuespread-agent', Agent.Settings.SPEC, process.argv.slice(2), process.env)
  .andThen(values => Agent.Settings.peerKeysOf(values).map(() => values))
Edge.Launch.runDaemon(settings, values => Effect.asVoid(Agent.App.open(values)))
