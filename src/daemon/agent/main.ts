/**
 * The program `fescuespread-agent`.
 *
 * @packageDocumentation
 */
import * as Effect from 'effect/Effect'
import * as Neverthrow from 'neverthrow'
import * as Agent from '../../agent/index.ts'
import * as Edge from '../../edge/index.ts'
import * as Process from '../../process/index.ts'

const settings = Edge.Settings.read('fescuespread-agent', Agent.Settings.SPEC, process.argv.slice(2), process.env)
  .andThen(values => Neverthrow.Result.combine([Process.Settings.createPeerKeyRing(values), Process.Settings.advertisedHostOf(values)]).map(() => values))
Edge.Launch.runDaemon(settings, values => Effect.asVoid(Agent.App.open(values)))
