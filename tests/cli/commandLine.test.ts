import test from 'ava'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { z } from 'zod'
import { runCommandLine } from '../../src/cli/commandLine.js'
import { ExitCode } from '../../src/cli/exitCode.js'
import type { Clock } from '../../src/utils/clock.js'
import { JumpingClock } from '../fixtures/jumpingClock.js'

const POOL = { endpointKind: 'service' }

interface FakeControl {
  address: string
  server: Server
  /** Path and parsed body of every call. */
  calls: Array<{ path: string, body: { changeId?: string } }>
}

type Answer = { status: number, value: unknown } | 'lost'

async function startFakeControl (answer: (path: string, callNumber: number) => Answer): Promise<FakeControl> {
  const calls: FakeControl['calls'] = []
  const server = createServer((request: IncomingMessage, response: ServerResponse) => {
    let text = ''
    request.on('data', part => { text += String(part) })
    request.on('end', () => {
      const path = request.url ?? ''
      calls.push({ path, body: text === '' ? {} : JSON.parse(text) })
      const reply = answer(path, calls.length)
      if (reply === 'lost') return request.socket.destroy()
      response.writeHead(reply.status).end(JSON.stringify(reply.value))
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.50.3', resolve))
  const { address, port } = server.address() as AddressInfo
  return { address: `${address}:${port}`, server, calls }
}

async function run (argv: string[], control?: FakeControl, clock?: Clock): Promise<{ exitCode: ExitCode, out: string, err: string }> {
  const out: string[] = []
  const err: string[] = []
  const settingsSchema = z.strictObject({ host: z.strictObject({ hostId: z.string() }) })
  const exitCode = await runCommandLine(argv, {
    version: '0.0.0',
    output: { print: line => out.push(line), error: line => err.push(line) },
    settingsSchemas: { entry: settingsSchema, control: settingsSchema, 'fleet-host': settingsSchema },
    environment: { THREADDRUM_CONTROL: control?.address },
    clock
  })
  control?.server.close()
  return { exitCode, out: out.join('\n'), err: err.join('\n') }
}

function writeFile (name: string, text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'threaddrum-cli-')), name)
  writeFileSync(path, text)
  return path
}

function applied (): Answer {
  return { status: 200, value: { kind: 'applied', revision: 7, resource: { kind: 'EndpointPool', name: 'decks', revision: 7, spec: POOL } } }
}

const POOL_FILE = '[[resources]]\nkind = "EndpointPool"\nname = "decks"\n[resources.spec]\nendpointKind = "service"\n'

test('should send a change again under the same id when its answer is lost', async t => {
  const control = await startFakeControl((_path, callNumber) => callNumber === 1 ? 'lost' : applied())
  const { exitCode } = await run(['apply', writeFile('pool.toml', POOL_FILE)], control)
  t.is(exitCode, ExitCode.Done)
  t.is(control.calls.length, 2)
  t.truthy(control.calls[0]?.body.changeId)
  t.is(control.calls[0]?.body.changeId, control.calls[1]?.body.changeId)
})

test('should exit with the conflict code when another change was made first', async t => {
  const control = await startFakeControl(() => ({ status: 409, value: { kind: 'conflict', currentRevision: 9 } }))
  const { exitCode, err } = await run(['apply', writeFile('pool.toml', POOL_FILE)], control)
  t.is(exitCode, ExitCode.Conflict)
  t.regex(err, /EndpointPool decks: conflict: its revision is 9/)
})

test('should name the hosts where a change is not in force at the deadline', async t => {
  const host = { hostId: 'entry-1', dataCentre: 'hal-a', callerAddress: '127.0.0.1:1', revisionInForce: 7, holdsLease: true }
  const entryHosts = [host, { ...host, hostId: 'entry-2', revisionInForce: 6 }]
  const status = { leaderHostId: 'control-1', term: 1, revision: 7, members: [], entryHosts }
  const clock = new JumpingClock()
  let statusCount = 0
  const control = await startFakeControl(path => {
    if (path !== '/v1/status') return applied()
    if (++statusCount === 2) setImmediate(() => clock.jump(600_000))
    return { status: 200, value: status }
  })
  const { exitCode, err } = await run(['apply', '--wait', '--timeout-ms', '600000', writeFile('pool.toml', POOL_FILE)], control, clock)
  t.is(exitCode, ExitCode.Timeout)
  t.regex(err, /entry-2 \(hal-a\): not in force, it has revision 6 of 7/)
  t.notRegex(err, /entry-1/)
})

test('should name file, key, value and expected form of an invalid resource and send nothing', async t => {
  const control = await startFakeControl(applied)
  const { exitCode, err } = await run(['apply', writeFile('pool.toml', POOL_FILE.replace('"service"', '"servce"'))], control)
  t.is(exitCode, ExitCode.Usage)
  t.regex(err, /pool\.toml: resources\.0\.spec\.endpointKind: .*"engine".*"service".* \(value: "servce"\)/)
  t.is(control.calls.length, 0)
})

test('should read the prompts of a job from the file next to it', async t => {
  const control = await startFakeControl(applied)
  const file = writeFile('job.json', JSON.stringify({
    resources: [{
      kind: 'RolloutJob',
      name: 'hints',
      spec: { pool: 'p', priorityClass: 'c', promptsFile: 'deck.txt', groupSizeCount: 1, groupsPerStepCount: 1, stalenessBoundVersions: 1 }
    }]
  }))
  writeFileSync(join(file, '../deck.txt'), '# cards\nde fiets\n\nhet gemaal\n')
  const { exitCode } = await run(['apply', file], control)
  t.is(exitCode, ExitCode.Done)
  t.like(control.calls[0]?.body, { spec: { prompts: ['de fiets', 'het gemaal'] } })
})

test('should say which revision to list from when a watch starts too early', async t => {
  const control = await startFakeControl(() => ({ status: 410, value: { reason: 'compacted', currentRevision: 40 } }))
  const { exitCode, err } = await run(['watch', '--from-revision', '3'], control)
  t.is(exitCode, ExitCode.Compacted)
  t.regex(err, /list again .* from revision 40/)
})

test('should distinguish usage errors, unreachable hosts and missing resources', async t => {
  t.is((await run(['apply'])).exitCode, ExitCode.Usage)
  t.is((await run(['status'])).exitCode, ExitCode.Usage)
  t.is((await run(['get', 'Pool', '--control', '127.0.0.1:1'])).exitCode, ExitCode.Usage)
  t.is((await run(['status', '--contrl', 'x'])).exitCode, ExitCode.Usage)
  t.is((await run(['status', '--control', '127.0.50.3:1', '--timeout-ms', '300'])).exitCode, ExitCode.Unreachable)
  const control = await startFakeControl(() => ({ status: 404, value: {} }))
  t.is((await run(['get', 'EndpointPool', 'decks'], control)).exitCode, ExitCode.NotFound)
})

test('should check settings files without starting anything', async t => {
  t.is((await run(['check', 'entry', writeFile('a.toml', '[host]\nhostId = "e1"\n')])).exitCode, ExitCode.Done)
  const { exitCode, err } = await run(['check', 'control', writeFile('b.toml', '[host]\nhostId = 1\n')])
  t.is(exitCode, ExitCode.Usage)
  t.regex(err, /b\.toml: host\.hostId: .*string.* \(value: 1\)/)
})

test('should list quarantined requests, lift one, and name a missing argument', async t => {
  const digest = 'd'.repeat(32)
  const notice = { number: 3, digest, verdict: 'condemned', endpointIds: ['e1', 'e2', 'e3'], endedAtMs: 1_700_000_000_000 }
  const start = async (): Promise<FakeControl> => await startFakeControl(path => (
    { status: 200, value: path.endsWith(digest) ? { lifted: digest } : { requests: [notice] } }
  ))
  const listed = await run(['quarantine', 'list'], await start())
  t.is(listed.exitCode, ExitCode.Done)
  t.regex(listed.out, /d{32}.*condemned.*e1, e2, e3.*2023-11-14/)
  const control = await start()
  const lifted = await run(['quarantine', 'lift', digest], control)
  t.is(lifted.exitCode, ExitCode.Done, lifted.err)
  t.is(control.calls.at(-1)?.path, `/v1/quarantine/${digest}`)
  const missing = await run(['quarantine', 'lift'], await start())
  t.is(missing.exitCode, ExitCode.Usage)
  t.regex(missing.err, /expected the digest/)
  t.regex((await run(['quarantine', 'forget'], await start())).err, /expected one of list, lift \(value: "forget"\)/)
})
