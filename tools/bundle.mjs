/**
 * Bundles the programs that run on the users' platform, one file each: a
 * process that was killed is back sooner when it reads one file instead of
 * hundreds. Plain JavaScript, because it runs before the compiler has.
 */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/edge.ts', 'platform/control.ts', 'platform/store.ts'],
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: 'linked',
  // Libraries in the older module format call require.
  banner: { js: "import { createRequire as createRequireHere } from 'node:module'; const require = createRequireHere(import.meta.url);" },
  // Optional native helpers, which nothing here needs.
  external: ['unix-dgram'],
  logLevel: 'warning'
})
