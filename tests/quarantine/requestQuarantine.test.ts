import test from 'ava'
import { RequestQuarantine, QuarantineStatus } from '../../src/quarantine/requestQuarantine.js'
import { SuspectReports } from '../../src/quarantine/suspectReports.js'
import { RoutingCommandKind, type RoutingCommand } from '../../src/protocol/routingCommands.js'
import { silentLogger } from '../../src/utils/logger.js'
import type { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { endpoint, HOST, viewOf } from '../fixtures/fleet/fleetFixtures.js'
import { quarantineOf } from '../fixtures/fleet/quarantineFixtures.js'
import { ScriptedEndpoints } from '../fixtures/fleet/scriptedEndpoints.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const REQUEST = { host: HOST, method: 'POST', path: '/open/7', body: Buffer.from('a body') }
const LOST = { kind: 'broken', reason: 'other side closed', isConnectionLost: true } as const
const CHECKED_WITHIN_MS = 500

class World {
  readonly clock = new VirtualClock()
  readonly endpoints = new ScriptedEndpoints(this.clock)
  readonly own = [endpoint('e1'), endpoint('e2'), endpoint('e3')]
  readonly view = viewOf(this.own)
  readonly quarantine: RequestQuarantine = quarantineOf(this.view, this.clock, this.endpoints)
  readonly identity = this.quarantine.identify(REQUEST)

  /** Loses the connection of the request to an endpoint, which has terminated or not. */
  async lose (number: number, hasTerminated: boolean): Promise<void> {
    const endpointToLose = this.own[number]!
    if (hasTerminated) this.endpoints.refusing.add(endpointToLose.address)
    this.quarantine.failed(this.quarantine.startRun(this.identity, endpointToLose), LOST)
    await this.clock.advance(CHECKED_WITHIN_MS)
  }

  get status (): QuarantineStatus {
    return this.quarantine.statusOf(this.quarantine.identify({ ...REQUEST }))
  }
}

test('should distinguish a terminated endpoint from a lost connection', async t => {
  const world = new World()
  await world.lose(0, false)
  t.is(world.status, QuarantineStatus.Free)
  await world.lose(1, true)
  t.is(world.status, QuarantineStatus.Suspected)
})

test('should count a new incarnation at the same address as a termination, but not a leave', async t => {
  const world = new World()
  const [first, second] = world.own as [typeof world.own[0], typeof world.own[0]]
  const runs = [first, second].map(at => world.quarantine.startRun(world.identity, at!))
  world.view.merge('control-1', { leaves: [{ number: 1, name: second!.name, bornAtMs: 0, lifecycle: 1 }] })
  for (const run of runs) world.quarantine.failed(run, LOST)
  await world.clock.advance(CHECKED_WITHIN_MS)
  t.is(world.status, QuarantineStatus.Free)
  world.view.merge('control-1', { endpoints: [first!, second!].map((at, position) => ({ ...endpoint(`n${position}`), address: at.address })) })
  t.is(world.status, QuarantineStatus.Suspected, 'one termination')
})

test('should condemn a request by the terminations that this host saw, and clear it by an answer but not by an error', async t => {
  const world = new World()
  await world.lose(0, true)
  await world.lose(1, true)
  t.is(world.status, QuarantineStatus.OnProbation)
  world.quarantine.answeredWithError(world.quarantine.startRun(world.identity, world.own[2]!))
  t.is(world.status, QuarantineStatus.OnProbation)
  await world.lose(2, true)
  t.is(world.status, QuarantineStatus.Condemned)
  world.quarantine.answered(world.quarantine.startRun(world.identity, world.own[2]!))
  t.is(world.status, QuarantineStatus.Free)
})

// An item took the blame for the engines that ended under it.
test('should neither suspect nor withhold owed work, and let it clear nothing', async t => {
  const world = new World()
  const owed = world.quarantine.identify(REQUEST, true)
  for (const number of [0, 1, 2]) {
    const run = world.quarantine.startRun(owed, world.own[number]!)
    await world.lose(number, true)
    world.quarantine.failed(run, LOST)
    await world.clock.advance(CHECKED_WITHIN_MS)
  }
  t.is(world.status, QuarantineStatus.Condemned, 'the request beside it')
  t.is(world.quarantine.statusOf(owed), QuarantineStatus.Free)
  world.quarantine.answered(world.quarantine.startRun(owed, world.own[0]!))
  t.is(world.status, QuarantineStatus.Condemned)
})

test('should let no two requests on probation run at one endpoint', async t => {
  const world = new World()
  await world.lose(0, true)
  await world.lose(1, true)
  const [, , third] = world.own
  const run = world.quarantine.startRun(world.identity, third!)
  t.false(world.quarantine.mayStart(QuarantineStatus.OnProbation, third!))
  t.true(world.quarantine.mayStart(QuarantineStatus.Suspected, third!))
  world.quarantine.abandoned(run)
  t.true(world.quarantine.mayStart(QuarantineStatus.OnProbation, third!))
})

test('should report a termination once there is a quorum again, without the requests that were answered meanwhile', async t => {
  const clock = new VirtualClock()
  const scope = new Scope('test')
  const sent: RoutingCommand[] = []
  const submit = async (command: RoutingCommand, progress: Progress): Promise<boolean> => {
    sent.push(command)
    if (sent.length > 2) return true
    await progress.race(new Promise(() => {}))
    return false
  }
  const reports = new SuspectReports({ clock, logger: silentLogger, submit })
  reports.run(scope).catch(() => {})
  reports.ended('e1', 'a', true)
  reports.ended('e1', 'b', true)
  reports.cleared('b', false)
  await clock.advance(30_000)
  t.is(sent.length, 3)
  t.deepEqual(sent.at(-1), { kind: RoutingCommandKind.RecordEnds, ends: [{ endpointId: 'e1', digests: ['a'] }] })
  scope.close('test over')
})
