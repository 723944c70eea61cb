/**
 * The program `fescuespread-gateway`.
 *
 * @packageDocumentation
 */
import * as Effect from 'effect/Effect'
import * as Neverthrow from 'neverthrow'
import * as Agent from '../../agent/index.ts'
import * as Edge from '../../edge/index.ts'
import * as Gateway from '../../gateway/index.ts'

const settings = Edge.Settings.read('fescuespread-gateway', Gateway.Settings.SPEC, process.argv.slice(2), process.env)
  .andThen(values => Neverthrow.Result.combine([Agent.Settings.peerKeysOf(values), Gateway.Settings.operatorTokensOf(values)]).map(() => values))
Edge.Launch.runDaemon(settings, values => Effect.asVoid(Gateway.App.open(values)))
