import * as Fs from 'node:fs'
import * as Path from 'node:path'
import { describe, it } from 'node:test'
import { expect } from 'earl'

const FOLDERS = ['src', 'platform', 'standins', 'testkit']

function filesOf (folder: string): string[] {
  return Fs.readdirSync(folder, { withFileTypes: true }).flatMap(entry =>
    entry.isDirectory() ? filesOf(Path.join(folder, entry.name)) : entry.name.endsWith('.ts') ? [Path.join(folder, entry.name)] : [])
}

/** Finds a circle of imports, types included. */
function circleOf (imports: ReadonlyMap<string, readonly string[]>): readonly string[] | undefined {
  const done = new Set<string>()
  const follow = (file: string, way: readonly string[]): readonly string[] | undefined => {
    if (way.includes(file)) return [...way.slice(way.indexOf(file)), file]
    if (done.has(file)) return undefined
    for (const next of imports.get(file) ?? []) {
      const circle = follow(next, [...way, file])
      if (circle !== undefined) return circle
    }
    done.add(file)
    return undefined
  }
  for (const file of imports.keys()) {
    const circle = follow(file, [])
    if (circle !== undefined) return circle
  }
  return undefined
}

describe('Imports', () => {
  it('form no circle', () => {
    const imports = new Map(FOLDERS.flatMap(filesOf).map(file => [
      file,
      [...Fs.readFileSync(file, 'utf8').matchAll(/^(?:import|export)[^'\n]*from '(\.[^']+)'/gm)].map(([, path]) => Path.normalize(Path.join(Path.dirname(file), path ?? '')))
    ]))
    expect(imports.size > 100).toEqual(true)
    expect(circleOf(imports)).toEqual(undefined)
  })

  it('are found where they form one', () => {
    expect(circleOf(new Map([['a', ['b']], ['b', ['c']], ['c', ['b']]]))).toEqual(['b', 'c', 'b'])
  })
})
