/**
 * Addresses that nobody can connect to: announced by an endpoint, told by a peer, or in the settings.
 */
import anyTest from 'ava'
import { request } from 'undici'
import { decodeHeartbeat } from '../../platform/announcementCodec.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { Scope } from '../../src/utils/scope.js'
import { addressSchema } from '../../src/utils/settings.js'
import { TestHost } from '../fixtures/testHost.js'
import { until } from '../fixtures/until.js'

/** One at a time: some start programs. */
const test = anyTest.serial

const IMPOSSIBLE = ['10.1.0.10:65536', '10.1.0.10:70000', '10.1.0.10:99999', '256.1.0.10:80', '10.1.0.999:80']
const CALLS_COUNT = 5
const heartbeat = { service: 's1', address: '10.1.0.10:70000', zone: 'dc', version: 'v1', slots: 4, state: 'ready', seq: 1 }
const routing = {
  version: 2,
  routes: [{ name: 'r1', host: 'a.example', 'path-prefix': '/', 'route-type': 'idempotent', 'timeout-ms': 1_500, 'slo-ms': 200, priority: 1, service: 's1', 'max-attempts': 2 }],
  services: [{ name: 's1', 'health-path': '/healthz', 'max-conns': 10, protocol: 'h1', tls: false }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
}

for (const address of IMPOSSIBLE) {
  test(`should take ${address} for no address, and its announcement for no endpoint`, t => {
    t.false(addressSchema.safeParse(address).success)
    t.is(decodeHeartbeat('e1', { ...heartbeat, address }).kind, 'invalid')
  })
}

for (const address of ['0.0.0.0:0', '10.1.0.10:8161', '255.255.255.255:65535']) {
  test(`should take ${address} for an address`, t => {
    t.true(addressSchema.safeParse(address).success)
  })
}

// An address of a peer that no socket can have threw, which ends the process.
for (const address of [...IMPOSSIBLE, 'nowhere', '', '10.1.0.10:']) {
  test(`should report a peer at "${address}" as unreachable`, async t => {
    t.is((await new TcpTransport().connect(address, new Scope('test'))).kind, 'unreachable')
  })
}

// Requests were sent to an endpoint that nobody can reach, and refused as if they might have run: 502, executed unknown.
test('should go on after an endpoint has announced a port that cannot be one', async t => {
  const host = await TestHost.create(t)
  const [edge, control] = [host.start(t, 'edge'), host.start(t, 'control')]
  await host.configure()
  await until(async () => await host.statusOf('control', '/v1/config/replace', routing) === 200)
  await edge.until(async () => await host.statusOf('readiness', '/v1/readyz') === 200)
  const announced = await host.statusOf('control', '/v1/instances/e1/heartbeat', heartbeat)
  await edge.until(async () => edge.out.includes('e1') || announced === 400)
  for (let count = 0; count < CALLS_COUNT; count++) {
    const status = await request(`http://${host.address('callers')}/x`, { headers: { host: 'a.example', 'x-threaddrum-attempt-id': `id${count}` }, reset: true }).then(async answer => {
      await answer.body.dump()
      return answer.statusCode
    }, () => undefined)
    t.is(status, 503, edge.out.slice(-2_000))
  }
  t.is(edge.end, undefined)
  t.is(control.end, undefined)
  t.is(announced, 400)
})
