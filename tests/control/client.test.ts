import test from 'ava'
import { NetworkControlClient } from '../../src/controlClient/networkControlClient.js'
import { HostCommandKind } from '../../src/protocol/hostCommands.js'
import { ResourceKind } from '../../src/protocol/resources.js'
import type { Transport } from '../../src/transport/connection.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { systemClock } from '../../src/utils/clock.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { systemRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { CuttableTransport } from '../fixtures/cuttableTransport.js'
import { ControlProcesses, until } from '../fixtures/controlProcesses.js'

function startClient (scope: Scope, control: ControlProcesses, hostId: string, incarnation = 1, transport: Transport = new TcpTransport()): NetworkControlClient {
  const fail = (error: unknown): void => { throw error }
  const client = new NetworkControlClient({
    clock: systemClock,
    random: systemRandom(),
    metrics: memoryMetrics(),
    transport,
    supervisor: new Supervisor(scope, (_task, error) => fail(error)),
    onFatal: fail,
    controlAddresses: control.peerAddresses,
    host: { hostId, dataCentre: 'hal', callerAddress: '127.0.11.100:1', peerAddress: '127.0.11.100:2', incarnation }
  })
  client.start()
  return client
}

test('should bring a change into force on every host, over a change of leader, and name the hosts that hold it', async t => {
  const control = new ControlProcesses(11, 3)
  const scope = new Scope('test')
  t.teardown(async () => {
    scope.close('test over')
    await control.stop()
  })
  control.startAll()
  const clients = ['entry-1', 'entry-2'].map(hostId => startClient(scope, control, hostId))
  await until(async () => clients.every(client => client.holdsLease()) || undefined, 'leases')
  const first = await control.putUntilAnswered('first', 'gold', 1)
  await control.kill(await control.untilLeader())
  const second = await control.putUntilAnswered('second', 'gold', 2, first.body.revision)
  t.is(second.status, 200)
  await control.untilStatus(({ entryHosts }) => entryHosts.length === 2 && entryHosts.every(host => host.holdsLease && host.revisionInForce >= second.body.revision), 'in force everywhere')
  for (const client of clients) t.is(client.configuration.get(ResourceKind.PriorityClass, 'gold')?.spec.paidWeight, 2)
  const progress = new Progress(systemClock, scope, systemClock.nowMs() + 30_000)
  const fence = await clients[0]?.submit({ kind: HostCommandKind.AcquireFence, fenceScope: 'engine-1', holder: 'entry-1' }, progress)
  t.is(fence?.kind, 'committed')
})

test('should hold no lease while no quorum confirms the leader, and regain it afterwards', async t => {
  const control = new ControlProcesses(12, 3)
  const scope = new Scope('test')
  t.teardown(async () => {
    scope.close('test over')
    await control.stop()
  })
  control.startAll()
  const client = startClient(scope, control, 'entry-1')
  await until(async () => client.holdsLease() || undefined, 'a lease')
  const leader = await control.untilLeader()
  const others = control.hosts.filter(host => host !== leader)
  for (const host of others) control.freeze(host)
  await until(async () => !client.holdsLease() || undefined, 'the lease to end')
  t.is((await control.put(leader, 'late', 'gold', 1)).status !== 200, true)
  for (const host of others) control.wake(host)
  await until(async () => client.holdsLease() || undefined, 'a lease again')
  t.pass()
})

test('should give a restarted host no lease before it has all of 500 changes, and end the lease of its earlier incarnation', async t => {
  const control = new ControlProcesses(20, 3)
  const scope = new Scope('test')
  t.teardown(async () => {
    scope.close('test over')
    await control.stop()
  })
  control.startAll()
  const first = startClient(scope, control, 'entry-1', 1)
  await until(async () => first.holdsLease() || undefined, 'a lease')
  const change = async (number: number): Promise<number> => (await control.putUntilAnswered(`change-${number}`, `class-${number % 7}`, number)).body.revision
  const revisions: number[] = []
  for (let number = 0; number < 500; number += 20) {
    revisions.push(...await Promise.all(Array.from({ length: 20 }, (_value, offset) => change(number + offset + 1))))
  }
  t.is(new Set(revisions).size, 500)
  const second = startClient(scope, control, 'entry-1', 2)
  await until(async () => second.holdsLease() || undefined, 'a lease of the second start')
  t.true(second.configuration.revision >= Math.max(...revisions))
  t.is(second.configuration.list(ResourceKind.PriorityClass).length, 7)
  await until(async () => !first.holdsLease() || undefined, 'the first start to lose its lease')
  await until(async () => second.holdsLease() || undefined, 'the second start to keep renewing')
})

test('should end the lease of a host whose connections fail silently while other hosts continue', async t => {
  const control = new ControlProcesses(21, 3)
  const scope = new Scope('test')
  t.teardown(async () => {
    scope.close('test over')
    await control.stop()
  })
  control.startAll()
  const transport = new CuttableTransport(new TcpTransport())
  const disconnected = startClient(scope, control, 'entry-1', 1, transport)
  const other = startClient(scope, control, 'entry-2')
  await until(async () => (disconnected.holdsLease() && other.holdsLease()) || undefined, 'leases')
  transport.isCut = true
  const answer = await control.putUntilAnswered('unseen', 'gold', 5)
  await control.untilStatus(({ entryHosts }) => entryHosts.some(host => host.hostId === 'entry-1' && !host.holdsLease), 'the disconnected host to be shown without a lease')
  // A lease that the control hosts consider ended has also ended on the host, whose lease started before the renewal arrived.
  t.false(disconnected.holdsLease())
  t.is(disconnected.configuration.get(ResourceKind.PriorityClass, 'gold'), undefined)
  t.true(other.configuration.revision >= answer.body.revision)
  transport.isCut = false
  await until(async () => disconnected.holdsLease() || undefined, 'a lease again')
  t.is(disconnected.configuration.get(ResourceKind.PriorityClass, 'gold')?.spec.paidWeight, 5)
})
