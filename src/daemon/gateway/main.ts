/**
 * The program `fescuespread-gateway`.
 *
 * @packageDocumentation
 */
import * as Effect from 'effect/Effect'
import * as Edge from '../../edge/index.ts'
import * as Gateway from '../../gateway/index.ts'

const settings = Edge.Settings.read('fescuespread-gateway', Gateway.Settings.SPEC, process.argv.slice(2), process.env)
Edge.Launch.runDaemon(settings, values => Effect.asVoid(Gateway.App.open(values)))
