/**
 * Bundles the programs that run on the users' platform, one file each with a
 * cache of its compiled code: a process that was killed is back sooner when it
 * reads one file instead of hundreds and compiles little. Plain JavaScript,
 * because it runs before the compiler has.
 */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'
import { parse } from 'smol-toml'

const PROGRAMS = ['edge', 'control', 'store']

/** Parts of libraries that no program here uses, but would load when it starts: most of undici, and the languages of zod's messages. */
const unusedParts = {
  name: 'unused parts',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve('tools/undiciParts.cjs') }))
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, ({ path }) => ({
      contents: "export { default as en } from './en.js'",
      resolveDir: path.replace(/index\.js$/, '')
    }))
  }
}

/** The flags of Node.js that the deployment starts a program with; a code cache holds for these only. */
function flagsOf (name) {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'))
  return roles[name].run.split(' ').filter(word => word.startsWith('--'))
}

await build({
  entryPoints: PROGRAMS.map(name => `platform/${name}.ts`),
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: 'linked',
  plugins: [unusedParts],
  // Optional native helpers, which nothing here needs.
  external: ['unix-dgram'],
  logLevel: 'warning'
})

for (const name of PROGRAMS) execFileSync(process.execPath, [...flagsOf(name), 'tools/writeCodeCache.cjs', name], { stdio: ['ignore', 'ignore', 'ignore'] })
