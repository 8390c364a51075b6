/**
 * Failures of real control processes: kills, freezes, wiped disks and damaged logs.
 */
import test from 'ava'
import { readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { ControlProcesses, until, type ControlProcess } from '../fixtures/controlProcesses.js'

test('should keep every accepted change when the leader is killed again and again', async t => {
  const control = new ControlProcesses(10, 3)
  t.teardown(() => control.stop())
  control.startAll()
  for (let round = 1; round <= 4; round++) {
    const leader = await control.untilLeader()
    const answer = await control.putUntilAnswered(`change-${round}`, 'gold', round)
    t.is(answer.status, 200)
    await control.kill(leader)
    control.start(leader)
    const other = await control.untilLeader()
    t.is(await until(() => control.weightOf(other, 'gold'), 'a read'), round)
  }
})

test('should answer nothing from a leader that was frozen past its lease while a successor was elected', async t => {
  const control = new ControlProcesses(13, 3)
  t.teardown(() => control.stop())
  control.startAll()
  const frozen = await control.untilLeader()
  t.is((await control.putUntilAnswered('first', 'gold', 1)).status, 200)
  control.freeze(frozen)
  const others = control.hosts.filter(host => host !== frozen)
  const successor = await control.untilLeader(others)
  // Sent while the process is frozen, so that it receives these calls first when it resumes.
  const lateRead = control.call(frozen, 'GET', '/v1/resources/PriorityClass/gold', undefined, 30_000)
  const lateWrite = control.put(frozen, 'late', 'gold', 99, 1)
  const second = await until(async () => {
    const answer = await control.put(successor, 'second', 'gold', 2, 1)
    return answer.status === 200 ? answer : undefined
  }, 'a change at the successor')
  t.is(second.body.revision, 2)
  control.wake(frozen)
  const read = await lateRead
  t.true(read.status === 503 || read.body.spec.paidWeight === 2, JSON.stringify(read))
  t.not((await lateWrite).status, 200)
  t.is(await until(() => control.weightOf(frozen, 'gold'), 'a read'), 2)
})

test('should give the first outcome to resent changes and let one of two operators win, at any host', async t => {
  const control = new ControlProcesses(14, 3)
  t.teardown(() => control.stop())
  control.startAll()
  await control.untilLeader()
  const [first, second, third] = control.hosts as [ControlProcess, ControlProcess, ControlProcess]
  const created = await control.putUntilAnswered('create', 'gold', 1, 0)
  const race = await Promise.all([
    control.put(first, 'operator-a', 'gold', 10, created.body.revision),
    control.put(second, 'operator-b', 'gold', 20, created.body.revision)
  ])
  t.deepEqual(race.map(answer => answer.status).sort(), [200, 409])
  // Both operators resend after lost answers, to other hosts, while the leader has just been killed.
  await control.kill(await control.untilLeader())
  t.deepEqual(await control.putUntilAnswered('operator-a', 'gold', 10, created.body.revision), race[0])
  t.deepEqual(await control.putUntilAnswered('operator-b', 'gold', 20, created.body.revision), race[1])
  t.is((await control.putUntilAnswered('operator-a', 'gold', 11, created.body.revision)).status, 422)
  t.truthy(third)
})

test('should survive two of five, the second right after the first was replaced, and a wiped disk', async t => {
  const control = new ControlProcesses(15, 5)
  t.teardown(() => control.stop())
  control.startAll()
  const leader = await control.untilLeader()
  t.is((await control.putUntilAnswered('kept', 'gold', 7)).status, 200)
  const [first, second] = control.hosts.filter(host => host !== leader) as [ControlProcess, ControlProcess]
  const before = await control.untilStatus(status => status.members.length === 5, 'five members')
  await control.kill(first)
  control.wipe(first)
  control.start(first)
  const oldId = before.members.find(member => member.hostId === first.hostId)?.replicaId
  await control.untilStatus(status => status.members.every(member => member.role === 'voter' && member.isLive && member.replicaId !== oldId) && status.members.length === 5, 'the first replaced')
  await control.kill(second)
  await control.kill(leader)
  const successor = await control.untilLeader(control.hosts.filter(host => host.child))
  t.is(await until(() => control.weightOf(successor, 'gold'), 'a read'), 7)
  t.is((await control.putUntilAnswered('after', 'gold', 8)).status, 200)
})

test('should set a damaged log aside and recover from the other hosts', async t => {
  const control = new ControlProcesses(16, 3)
  t.teardown(() => control.stop())
  control.startAll()
  const leader = await control.untilLeader()
  for (let number = 1; number <= 20; number++) await control.putUntilAnswered(`change-${number}`, 'gold', number)
  const damaged = control.hosts.find(host => host !== leader) as ControlProcess
  const before = await control.untilStatus(({ members }) => members.length === 3, 'three members')
  const oldId = before.members.find(member => member.hostId === damaged.hostId)?.replicaId
  await control.kill(damaged)
  const file = join(damaged.dataFolder, readdirSync(damaged.dataFolder).find(name => name.startsWith('log-')) ?? '')
  const bytes = readFileSync(file)
  bytes[200] = (bytes[200] ?? 0) ^ 0xff
  writeFileSync(file, bytes)
  control.start(damaged)
  await until(async () => /is unreadable, but \d+ bytes had been synced/.test(damaged.log) || undefined, 'the error about the damaged log')
  await control.untilStatus(({ members }) => members.length === 3 && members.every(member => member.isLive && member.role === 'voter' && member.replicaId !== oldId), 'three voters again')
  t.is(await until(() => control.weightOf(damaged, 'gold'), 'a read'), 20)
})

test('should stop as planned with exit code 0, refuse wrong settings with 2, and add and remove a host', async t => {
  const control = new ControlProcesses(17, 3)
  t.teardown(() => control.stop())
  control.startAll()
  await control.untilLeader()
  const fourth = control.add()
  control.start(fourth)
  await control.untilStatus(({ members }) => members.filter(member => member.role === 'voter').length === 4, 'four voters')
  t.is(await control.kill(fourth, 'SIGTERM'), 0)
  const leader = await control.untilLeader()
  await until(async () => (await control.call(leader, 'DELETE', `/v1/members/${fourth.hostId}`)).status === 202 || undefined, 'the removal')
  await control.untilStatus(({ members }) => members.length === 3, 'three members')
  t.is(await control.exitCodeOf('[host]\nhostId = "x"\n'), 2)
})
