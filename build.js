// Bundles the library, the three programs and the stand-ins into dist.
import * as esbuild from 'esbuild'

const PROGRAMS = {
  gateway: 'src/daemon/gateway/main.ts',
  agent: 'src/daemon/agent/main.ts',
  fescuectl: 'src/ctl/main.ts',
  standin: 'standins/main.ts'
}

const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outdir: 'dist',
  logLevel: 'warning'
}

await Promise.all([
  esbuild.build({
    ...shared,
    entryPoints: PROGRAMS,
    minify: true,
    keepNames: true,
    banner: { js: "#!/usr/bin/env node\nimport { createRequire as fescueCreateRequire } from 'node:module'; const require = fescueCreateRequire(import.meta.url);" }
  }),
  esbuild.build({ ...shared, entryPoints: { index: 'src/index.ts' }, packages: 'external' })
])
