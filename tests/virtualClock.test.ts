import test from 'ava'
import { sleepUntil } from '../src/utils/clock.js'
import { Progress } from '../src/utils/progress.js'
import { Scope } from '../src/utils/scope.js'
import { VirtualClock } from './fixtures/virtualClock.js'

test('should wake sleepers in the order of their deadlines', async t => {
  const clock = new VirtualClock()
  const scope = new Scope('test')
  const woken: number[] = []
  const sleepers = [30, 10, 20].map(async atMs => {
    await sleepUntil(clock, scope, atMs)
    woken.push(clock.nowMs())
  })
  await clock.advance(20)
  t.deepEqual(woken, [10, 20])
  await clock.advance(10)
  await Promise.all(sleepers)
  t.deepEqual(woken, [10, 20, 30])
})

test('should end a wait at the deadline of its progress', async t => {
  const clock = new VirtualClock()
  const progress = new Progress(clock, new Scope('test'), 50)
  const raced = await clock.advanceUntil(progress.race(new Promise<void>(() => {})))
  t.deepEqual(raced, { kind: 'deadlinePassed' })
  t.is(clock.nowMs(), 50)
  t.true(progress.isPastDeadline())
})
