/**
 * Programs that start while another process holds one of their ports: each must wait for
 * the port, tell so, serve meanwhile what does not need it, and serve all once it is free.
 */
import anyTest, { type ExecutionContext } from 'ava'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import { ListenEvent } from '../../src/utils/listenEvents.js'
import type { PortName } from '../fixtures/hostSettings.js'
import { TestHost, type TestProgram } from '../fixtures/testHost.js'

/** One at a time: each starts programs. */
const test = anyTest.serial

/** Answered by the metrics listener of each program. */
const METRICS_PORT: Record<ProgramName, PortName> = { edge: 'edgeMetrics', control: 'controlMetrics', store: 'storeMetrics' }
/** No address of this machine: documentation only, RFC 5737. */
const FOREIGN_IP = '192.0.2.1'

async function untilWaiting (program: TestProgram, address: string): Promise<void> {
  await program.until(() => program.linesOf(ListenEvent.Waiting).some(({ context }) => context.address === address && context.code === 'EADDRINUSE'))
}

/** Starts a program while a port is held; returns how to release the port. */
async function startHeld (t: ExecutionContext, name: ProgramName, port: PortName): Promise<{ host: TestHost, program: TestProgram, release: () => void }> {
  const host = await TestHost.create(t)
  const holder = await host.hold(t, port)
  const program = host.start(t, name)
  await untilWaiting(program, host.address(port))
  return { host, program, release: () => holder.close() }
}

// A held port of the metrics ended each program with code 70, at each start.
for (const name of ['edge', 'control', 'store'] as const) {
  test(`should serve callers of ${name} while another process holds its metrics port, and its metrics afterwards`, async t => {
    const { host, program, release } = await startHeld(t, name, METRICS_PORT[name])
    if (name === 'edge') await program.until(async () => await host.statusOf('readiness', '/v1/readyz') !== undefined)
    if (name === 'control') await program.until(async () => await host.statusOf('control', '/v1/config/read') !== undefined)
    release()
    await program.until(async () => await host.statusOf(METRICS_PORT[name], '/metrics') === 200)
    t.is(program.linesOf(ListenEvent.Listening).length, 1)
  })
}

// A held internal port ended its program with code 70, at each start.
test('should take configurations once the peer port of a control host is free', async t => {
  const { host, program, release } = await startHeld(t, 'control', 'controlPeers')
  release()
  await host.configure()
  t.is(program.end, undefined)
})

test('should take configurations while another process holds the admin port of a control host', async t => {
  const { host, program, release } = await startHeld(t, 'control', 'controlAdmin')
  await host.configure()
  release()
  await program.until(() => program.linesOf(ListenEvent.Listening).length === 1)
  await program.until(async () => await host.statusOf('controlAdmin', '/nothing') === 404)
  t.is(program.end, undefined)
})

test('should take configurations once the port of a control host for endpoints and operators is free', async t => {
  const { host, program, release } = await startHeld(t, 'control', 'control')
  release()
  await host.configure()
  t.is(program.end, undefined)
})

test('should start a store host once its peer port is free', async t => {
  const { program, release } = await startHeld(t, 'store', 'storePeers')
  release()
  await program.until(() => program.linesOf(ListenEvent.Listening).length === 1)
  t.is(program.end, undefined)
})

// A held port of an entry host ended it with code 70; a port behind it in the start was never listened on.
for (const held of ['addresses', 'readiness'] as const) {
  test(`should be ready for callers while another process holds the port for ${held}`, async t => {
    const { host, program, release } = await startHeld(t, 'edge', held)
    host.start(t, 'control')
    await host.configure()
    await program.until(async () => await host.statusOf('callers', '/none') === 404)
    if (held === 'addresses') await program.until(async () => await host.statusOf('readiness', '/v1/readyz') === 200)
    else await program.until(async () => await host.statusOf('addresses', '/v1/resolve') === 200)
    release()
    await program.until(async () => await host.statusOf('readiness', '/v1/readyz') === 200 && await host.statusOf('addresses', '/v1/resolve') === 200)
    t.is(program.end, undefined)
  })
}

// Callers must not be sent to a host that does not listen for them.
test('should be named to callers, and ready, only once the port for callers is free', async t => {
  const { host, program, release } = await startHeld(t, 'edge', 'callers')
  host.start(t, 'control')
  await host.configure()
  await program.until(async () => await host.statusOf('readiness', '/v1/readyz') === 503 && await host.statusOf('addresses', '/v1/resolve') === 503)
  release()
  await program.until(async () => await host.statusOf('readiness', '/v1/readyz') === 200 && await host.statusOf('addresses', '/v1/resolve') === 200)
  t.is(await host.statusOf('callers', '/none'), 404)
})

// A host whose address is configured after its programs start ended each of them with code 70.
for (const name of ['edge', 'control', 'store'] as const) {
  test(`should wait in ${name} for an address that the host does not have yet`, async t => {
    const host = await TestHost.create(t)
    const program = host.start(t, name, { host: { ip: FOREIGN_IP } })
    await program.until(() => program.linesOf(ListenEvent.Waiting).some(({ context }) => context.code === 'EADDRNOTAVAIL'))
    t.is(program.end, undefined)
  })
}

test('should end a planned stop of an entry host whose port for callers is held', async t => {
  const host = await TestHost.create(t)
  await host.hold(t, 'callers')
  const program = host.start(t, 'edge', { bounds: { graceS: 1 } })
  await untilWaiting(program, host.address('callers'))
  program.child.kill('SIGTERM')
  t.is(await program.whenEnded(), 'code 0', program.out)
})
