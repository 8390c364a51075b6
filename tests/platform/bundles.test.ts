import test from 'ava'
import { execFileSync, spawnSync, type SpawnSyncReturns } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { createRequire } from 'node:module'
import { buffer } from 'node:stream/consumers'
import { parse } from 'smol-toml'
import type * as undici from 'undici'
import { freePort, loopbackHost } from '../fixtures/loopback.js'

/** What the programs end with when they are given no settings. */
const EXIT_SETTINGS = 2
const PROGRAMS = ['edge', 'control', 'store'] as const

interface Deployment {
  roles: Record<string, { run: string }>
}

/** Starts a program as the deployment does, without settings. */
function start (name: string, moreFlags: string[] = []): SpawnSyncReturns<string> {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as Deployment
  const [command, ...words] = roles[name]?.run.split(' ') ?? []
  if (command !== 'node') throw new Error(`${name} is started by ${command ?? 'nothing'}`)
  return spawnSync(process.execPath, [...moreFlags, ...words], { encoding: 'utf8', env: {} })
}

test.before(() => { execFileSync(process.execPath, ['tools/bundle.mjs'], { stdio: 'inherit' }) })

for (const name of PROGRAMS) {
  test(`should start ${name} from its bundle with the code cache that was built for its flags`, t => {
    const { status, stderr } = start(name)
    t.is(status, EXIT_SETTINGS)
    t.regex(stderr, /THREADDRUM_NODE_FILE is not set/)
    t.notRegex(stderr, /compiled anew/)
  })
}

test('should start from its bundle under other flags too, and say that the code cache does not fit', t => {
  const { status, stderr } = start('edge', ['--stack-size=900'])
  t.is(status, EXIT_SETTINGS)
  t.regex(stderr, /compiled anew/)
  t.regex(stderr, /THREADDRUM_NODE_FILE is not set/)
})

test('should have all of undici in the bundles that the programs use: requests, streams taken piece by piece, and ends', async t => {
  const parts = createRequire(import.meta.url)('../../../tools/undiciParts.cjs') as typeof undici
  const [host, port] = [loopbackHost(), await freePort()]
  const server = createServer((request, response) => {
    buffer(request).then(body => response.writeHead(200, { 'x-seen': request.method }).end(body), () => response.destroy())
  })
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  t.teardown(() => server.close())
  const pool = new parts.Pool(`http://${host}:${port}`, { connections: 2 })
  const answer = await pool.request({ path: '/', method: 'POST', body: 'whole' })
  t.is(answer.headers['x-seen'], 'POST')
  t.is(await answer.body.text(), 'whole')
  const pieces: string[] = []
  await new Promise<void>((resolve, reject) => pool.dispatch({ path: '/', method: 'POST', body: 'by pieces' }, {
    onConnect () {},
    onHeaders: () => true,
    onData: chunk => pieces.push(String(chunk)) > 0,
    onComplete: () => resolve(),
    onError: reject
  }))
  t.is(pieces.join(''), 'by pieces')
  const abort = AbortSignal.abort()
  await t.throwsAsync(pool.request({ path: '/', method: 'GET', signal: abort }), { any: true })
  t.true(new parts.errors.ResponseContentLengthMismatchError('too long') instanceof Error)
  await pool.close()
})
