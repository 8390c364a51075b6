import test, { type ExecutionContext } from 'ava'
import { connect, type Socket } from 'node:net'
import { request } from 'undici'
import { ControlServer } from '../../platform/controlServer.js'
import { ControlEvent } from '../../src/control/controlEvents.js'
import type { ControlNode } from '../../src/control/controlNode.js'
import type { ControlProgram } from '../../src/control/controlProgram.js'
import { EndpointAnnouncements } from '../../src/control/fleet/endpointAnnouncements.js'
import { EndpointDirectory } from '../../src/control/fleet/endpointDirectory.js'
import { RecordedLeaves } from '../../src/control/routing/recordedLeaves.js'
import type { SubmitReply } from '../../src/protocol/controlMessages.js'
import { RoutingCommandKind, type RoutingCommand } from '../../src/protocol/routingCommands.js'
import { EndpointLifecycle, type FleetEndpoint } from '../../src/protocol/fleet.js'
import { parseAddress } from '../../src/utils/settings.js'
import { until } from '../fixtures/until.js'
import { systemClock } from '../../src/utils/clock.js'
import type { LogFields, Logger } from '../../src/utils/logger.js'
import type { Progress } from '../../src/utils/progress.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { unboundedGuard } from '../fixtures/clientGuards.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'

const HEARTBEAT_MS = 1_000
const heartbeat = { service: 'engines', address: '10.128.0.9:8080', zone: 'north', version: 'v1', slots: 12, state: 'ready', 'cold-left-ms': 0, models: [{ name: 'm1', version: 4 }], seq: 4, born: 1_700_000_000_000 }

/** Most of the time that a control host has for calls in progress when it stops. */
const LATE_BODY_MS = 600
/** Longer than what is left then. */
const COMMIT_MS = 500

interface ControlFixture {
  address: string
  server: ControlServer
  close: () => void
  directory: EndpointDirectory
  sentEndpoints: FleetEndpoint[]
  events: Array<{ number: number, fields: LogFields }>
  send: (path: string, body?: string | Buffer) => Promise<number>
  announce: (name: string, body: unknown) => Promise<number>
}

/** Starts the server of a leading control host for endpoints. */
async function serve (t: ExecutionContext, commitMs = 0): Promise<ControlFixture> {
  const scope = new Scope('test')
  t.teardown(() => scope.close('test over'))
  const events: ControlFixture['events'] = []
  const logger: Logger = { event: (number, fields = {}) => events.push({ number, fields }), child: () => logger }
  const leaves = new RecordedLeaves()
  const directory = new EndpointDirectory(systemClock, HEARTBEAT_MS, leaves)
  const sentEndpoints: FleetEndpoint[] = []
  const followers = { announce: (endpoint: FleetEndpoint) => { sentEndpoints.push(endpoint) }, tellLeave: async () => ({ followersCount: 0, knowingCount: 0 }) }
  const node = { isLeader: true, state: { routing: { leaves } } } as unknown as ControlNode
  const leaderCalls = { submit: async (command: RoutingCommand, progress: Progress): Promise<SubmitReply> => await progress.scope.race(recordLeave(leaves, command, commitMs)) }
  const announcements = new EndpointAnnouncements({ node, directory, leaderCalls, followers, clock: systemClock, logger })
  const program = { directory, announcements, node } as unknown as ControlProgram
  const address = `${loopbackHost()}:${await freePort()}`
  const server = new ControlServer({ address, scope, guard: unboundedGuard(), clock: systemClock, logger, program, toleratedLosses: 1, onFatal: error => { throw error } })
  await server.listen()
  const send = async (path: string, body: string | Buffer = ''): Promise<number> => {
    const answer = await request(`http://${address}${path}`, { method: 'POST', body })
    await answer.body.dump()
    return answer.statusCode
  }
  const announce = async (name: string, body: unknown): Promise<number> => await send(`/v1/instances/${name}/heartbeat`, JSON.stringify(body))
  return { address, server, close: () => scope.close('planned stop'), directory, sentEndpoints, events, send, announce }
}

/** Sends the head of a call whose body comes later. */
async function openCall (t: ExecutionContext, address: string, path: string, bodyBytes: number): Promise<{ socket: Socket, text: Promise<string> }> {
  const { host, port } = parseAddress(address)
  const socket = connect({ host, port })
  t.teardown(() => socket.destroy())
  const text = new Promise<string>(resolve => {
    let received = ''
    socket.on('data', chunk => { received += chunk.toString() })
    socket.on('error', () => {})
    socket.once('close', () => resolve(received))
  })
  socket.write(`POST ${path} HTTP/1.1\r\nhost: ${address}\r\ncontent-length: ${bodyBytes}\r\n\r\n`)
  return { socket, text }
}

/** Replaces the replicated log: records leaves, after a time. */
async function recordLeave (leaves: RecordedLeaves, command: RoutingCommand, commitMs: number): Promise<SubmitReply> {
  if (commitMs > 0) await new Promise(resolve => setTimeout(resolve, commitMs))
  if (command.kind !== RoutingCommandKind.RecordLeave) throw new Error(`unexpected command ${command.kind}`)
  return { kind: 'committed', result: { kind: 'leaveNoted', leave: leaves.record(command.leave) } }
}

function idsOf ({ directory }: ControlFixture): string[] {
  return directory.all().map(({ endpointId }) => endpointId)
}

test('should announce a restarted endpoint, and that its earlier incarnation is removed', async t => {
  const served = await serve(t)
  await served.announce('i-1', heartbeat)
  t.is(await served.announce('i-1', { ...heartbeat, born: heartbeat.born + 5_000, seq: 1 }), 200)
  t.deepEqual(served.sentEndpoints.map(({ bornAtMs, lifecycle }) => [bornAtMs, lifecycle]), [
    [heartbeat.born, EndpointLifecycle.Ready],
    [heartbeat.born, EndpointLifecycle.Gone],
    [heartbeat.born + 5_000, EndpointLifecycle.Ready]
  ])
})

test('should keep the serving incarnation of an endpoint when an earlier one deregisters late', async t => {
  const served = await serve(t)
  await served.announce('i-1', heartbeat)
  t.is(await served.send('/v1/instances/i-1/deregister', JSON.stringify({ born: heartbeat.born - 1 })), 200)
  t.is(served.directory.all()[0]?.lifecycle, EndpointLifecycle.Ready)
  t.is(await served.send('/v1/instances/i-1/deregister'), 200)
  t.is(served.directory.all()[0]?.lifecycle, EndpointLifecycle.Gone)
})

const malformed: Array<[string, Record<string, unknown>]> = [
  ['a start time that is not an integer', { born: 1.5 }],
  ['a start time that is a string', { born: '1700000000000' }],
  ['an unknown state', { state: 'asleep' }],
  ['no service', { service: undefined }],
  ['slots that are a string', { slots: '12' }],
  ['models that are not a list', { models: 'm1' }],
  ['an address without a port', { address: '10.128.0.9' }]
]

for (const [what, fields] of malformed) {
  test(`should refuse an announcement with ${what}, log why, and keep the other endpoints`, async t => {
    const served = await serve(t)
    await served.announce('i-1', heartbeat)
    t.is(await served.announce('i-2', { ...heartbeat, ...fields }), 400)
    t.deepEqual(idsOf(served), [`i-1@${heartbeat.born}`])
    const [refused] = served.events.filter(({ number }) => number === ControlEvent.AnnouncementRefused)
    t.is(refused?.fields.endpoint, 'i-2')
    t.regex(String(refused?.fields.reason), new RegExp(Object.keys(fields)[0] ?? ''))
  })
}

test('should keep serving after bytes that cannot be decoded, in the body and in the path', async t => {
  const served = await serve(t)
  t.is(await served.send('/v1/instances/i-1/heartbeat', Buffer.from([0xff, 0xfe, 0x00])), 400)
  t.is(await served.send('/v1/instances/%E0%A4%A/heartbeat', JSON.stringify(heartbeat)), 400)
  t.is(await served.send('/v1/retire/%/begin'), 400)
  t.is(await served.announce('i-1', heartbeat), 200)
  t.deepEqual(idsOf(served), [`i-1@${heartbeat.born}`])
})

test('should log the reason for refused announcements once, not for each of them', async t => {
  const served = await serve(t)
  for (let round = 0; round < 20; round++) await served.announce('i-2', { ...heartbeat, state: 'asleep' })
  t.is(served.events.filter(({ number }) => number === ControlEvent.AnnouncementRefused).length, 1)
})

test('should keep the known endpoints whatever other endpoints announce', async t => {
  const served = await serve(t)
  await served.announce('i-1', heartbeat)
  const random = seededRandom(17)
  const oddValues: unknown[] = [null, true, -1, 1.5, 1e300, '', 'x', [], {}, [null], { name: 1 }]
  const keys = Object.keys(heartbeat)
  for (let round = 0; round < 300; round++) {
    const key = keys[random.int(0, keys.length - 1)] ?? ''
    const body = { ...heartbeat, seq: 5 + round, [key]: oddValues[random.int(0, oddValues.length - 1)] }
    const status = await served.announce(`x-${round}`, body)
    t.true(status === 200 || status === 400, `${key}: ${status}`)
  }
  t.like(served.directory.all()[0], { name: 'i-1', sequence: heartbeat.seq, lifecycle: EndpointLifecycle.Ready })
})

// Calls that went on when a control host ended were cut off without an answer.
test('should answer all calls before it ends, also those whose bodies come late or never', async t => {
  const served = await serve(t, COMMIT_MS)
  const body = JSON.stringify({ ...heartbeat, state: 'draining' })
  const sockets = await Promise.all(['i-1', 'i-2'].map(async name => await openCall(t, served.address, `/v1/instances/${name}/heartbeat`, body.length)))
  await until(() => served.server.openCount === 2)
  const finished = served.server.finish()
  await new Promise(resolve => setTimeout(resolve, LATE_BODY_MS))
  sockets[0]?.socket.write(body)
  await finished
  served.close()
  for (const { text } of sockets) t.regex(await text, /^HTTP\/1.1 504 [^]*this host stops/)
})
