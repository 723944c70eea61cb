/**
 * Runs a bench: `npm run -s bench -- NAME [--json]`. Each bench is a file of this folder.
 *
 * @packageDocumentation
 */
import * as Fs from 'node:fs'
import * as Path from 'node:path'
import * as Url from 'node:url'
import type * as Report from './report.ts'

const folder = Path.dirname(Url.fileURLToPath(import.meta.url))
const names = Fs.readdirSync(folder).map(file => Path.basename(file, '.ts')).filter(name => name !== 'main' && name !== 'report')
const [name = '', ...args] = process.argv.slice(2)

if (!names.includes(name)) {
  process.stderr.write(`bench: unknown bench "${name}"; allowed: ${names.join(', ')}\n`)
  process.exit(2)
}
const bench = await import(Url.pathToFileURL(Path.join(folder, `${name}.ts`)).href) as Report.Bench
const figures = await bench.run(args.filter(arg => arg !== '--json'))
const lines = Object.entries(figures).map(([key, value]) => `${key}: ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
process.stdout.write(args.includes('--json') ? `${JSON.stringify(figures)}\n` : `${lines.join('\n')}\n`)
process.exit(0)
