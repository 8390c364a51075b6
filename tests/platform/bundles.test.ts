import test from 'ava'
import { execFileSync, spawnSync, type SpawnSyncReturns } from 'node:child_process'
import { closeSync, cpSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { buffer } from 'node:stream/consumers'
import { parse } from 'smol-toml'
import type * as undici from 'undici'
import { freePort, loopbackHost } from '../fixtures/loopback.js'

/** Exit code of a program without settings. */
const EXIT_SETTINGS = 2
const PROGRAMS = ['edge', 'control', 'store'] as const

interface Deployment {
  roles: Record<string, { run: string }>
}

/** Starts a program with the command line of the deployment, without settings. */
function start (name: string, moreFlags: string[] = [], cwd = '.', stderr: 'pipe' | number = 'pipe'): SpawnSyncReturns<string> {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as Deployment
  const [command, ...words] = roles[name]?.run.split(' ') ?? []
  if (command !== 'node') throw new Error(`${name} is started by ${command ?? 'nothing'}`)
  return spawnSync(process.execPath, [...moreFlags, ...words], { encoding: 'utf8', env: {}, cwd, stdio: ['ignore', 'pipe', stderr] })
}

test.before(() => { execFileSync(process.execPath, ['tools/bundle.mjs'], { stdio: 'inherit' }) })

for (const name of PROGRAMS) {
  test(`should start ${name} from its bundle with the code cache that was built for its flags`, t => {
    const { status, stderr } = start(name)
    t.is(status, EXIT_SETTINGS)
    t.regex(stderr, /THREADDRUM_NODE_FILE is not set/)
    t.notRegex(stderr, /compiled from source/)
  })
}

test('should start from its bundle under other flags too, and report that the code cache was rejected', t => {
  const { status, stderr } = start('edge', ['--stack-size=900'])
  t.is(status, EXIT_SETTINGS)
  t.regex(stderr, /compiled from source/)
  t.regex(stderr, /THREADDRUM_NODE_FILE is not set/)
})

// A notice that nobody could take ended each start of a program whose code cache another Node.js version had written.
test('should start from its bundle where standard error takes nothing', t => {
  const full = openSync('/dev/full', 'w')
  t.teardown(() => closeSync(full))
  t.is(start('edge', ['--stack-size=900'], '.', full).status, EXIT_SETTINGS)
})

/** Damage that keeps the length: blocks that a loss of power did not keep, and single bytes. */
const DAMAGES: Record<string, (cache: Buffer) => void> = {
  'zeros in its second half': cache => { cache.fill(0, cache.length >> 1) },
  'wrong bytes': cache => { for (let position = 200; position < cache.length; position += 997) cache[position] = (cache[position] ?? 0) ^ 0x5a }
}

for (const [damage, apply] of Object.entries(DAMAGES)) {
  // V8 checks the length of a code cache, not its content: a damaged one ended the program by SIGSEGV or SIGTRAP at each start.
  test(`should start from its bundle with a code cache that has ${damage}`, t => {
    const folder = mkdtempSync(join(tmpdir(), 'threaddrum-cache-'))
    t.teardown(() => rmSync(folder, { recursive: true }))
    for (const name of ['platform', 'target']) cpSync(name, join(folder, name), { recursive: true })
    const file = join(folder, 'target/edge.cache')
    const cache = readFileSync(file)
    apply(cache)
    writeFileSync(file, cache)
    const { status, signal, stderr } = start('edge', [], folder)
    t.is(signal, null)
    t.is(status, EXIT_SETTINGS)
    t.regex(stderr, /compiled from source/)
  })
}

test('should bundle every part of undici that the programs use: requests, streaming handlers and aborts', async t => {
  const bundledUndici = createRequire(import.meta.url)('../../../tools/undiciParts.cjs') as typeof undici
  const [host, port] = [loopbackHost(), await freePort()]
  const server = createServer((request, response) => {
    buffer(request).then(body => response.writeHead(200, { 'x-seen': request.method }).end(body), () => response.destroy())
  })
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  t.teardown(() => server.close())
  const pool = new bundledUndici.Pool(`http://${host}:${port}`, { connections: 2 })
  const answer = await pool.request({ path: '/', method: 'POST', body: 'whole' })
  t.is(answer.headers['x-seen'], 'POST')
  t.is(await answer.body.text(), 'whole')
  const chunks: string[] = []
  await new Promise<void>((resolve, reject) => pool.dispatch({ path: '/', method: 'POST', body: 'by pieces' }, {
    onConnect () {},
    onHeaders: () => true,
    onData: chunk => chunks.push(String(chunk)) > 0,
    onComplete: () => resolve(),
    onError: reject
  }))
  t.is(chunks.join(''), 'by pieces')
  const abort = AbortSignal.abort()
  await t.throwsAsync(pool.request({ path: '/', method: 'GET', signal: abort }), { any: true })
  t.true(new bundledUndici.errors.ResponseContentLengthMismatchError('too long') instanceof Error)
  await pool.close()
})
