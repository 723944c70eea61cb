/**
 * The program `fescuespread-gateway`.
 *
 * @packageDocumentation
 */
import * as Effect from 'effect/Effect'
import * as Neverthrow from 'neverthrow'
import * as Edge from '../../edge/index.ts'
import * as Gateway from '../../gateway/index.ts'
import * as Process from '../../process/index.ts'

const settings = Edge.Settings.read('fescuespread-gateway', Gateway.Settings.SPEC, process.argv.slice(2), process.env)
  .andThen(values => Neverthrow.Result.combine([Process.Settings.createPeerKeyRing(values), Process.Settings.advertisedHostOf(values), Gateway.Settings.operatorTokensOf(values)]).map(() => values))
Edge.Launch.runDaemon(settings, values => Effect.asVoid(Gateway.App.open(values)))
