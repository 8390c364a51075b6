/**
 * Bundles the programs that run on the users' platform, each into one file with
 * a V8 code cache. A killed process restarts faster if it reads one file instead
 * of hundreds and has little to compile. Plain JavaScript, because it may run
 * before the TypeScript build. `node tools/bundle.mjs FOLDER` bundles into another
 * folder, without code caches, which belong to the deployment's own.
 */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'
import { parse } from 'smol-toml'

const DEPLOYED_FOLDER = 'target'
const PROGRAMS = ['edge', 'control', 'store']

/** esbuild plugin that drops library modules which would be loaded at start but are never used: most of undici, and the locales of zod. */
const dropUnusedModules = {
  name: 'drop unused modules',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve('tools/undiciParts.cjs') }))
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, ({ path }) => ({
      contents: "export { default as en } from './en.js'",
      resolveDir: path.replace(/index\.js$/, '')
    }))
  }
}

/** Node.js flags with which the deployment starts a program; V8 rejects a code cache that was written under other flags. */
function nodeFlagsOf (name) {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'))
  return roles[name].run.split(' ').filter(word => word.startsWith('--'))
}

const folder = process.argv[2] ?? DEPLOYED_FOLDER

await build({
  entryPoints: PROGRAMS.map(name => `platform/${name}.ts`),
  outdir: folder,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: 'linked',
  plugins: [dropUnusedModules],
  // Optional native dependency that no program uses.
  external: ['unix-dgram'],
  logLevel: 'warning'
})

if (folder === DEPLOYED_FOLDER) {
  for (const name of PROGRAMS) execFileSync(process.execPath, [...nodeFlagsOf(name), 'tools/writeCodeCache.cjs', name], { stdio: ['ignore', 'ignore', 'ignore'] })
}
