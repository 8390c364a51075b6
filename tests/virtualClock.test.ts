import test from 'ava'
import { sleepUntil } from '../src/utils/clock.js'
import { Progress } from '../src/utils/progress.js'
import { Scope } from '../src/utils/scope.js'
import { seededRandom } from '../src/utils/randomSource.js'
import { BilledProcessor } from './fixtures/fleet/billedProcessor.js'
import { HostClock } from './fixtures/hostClock.js'
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

// A stall check that saw a time just before its deadline scheduled itself for the same instant again, and the run never ended.
test('should throw when timers fire at one instant without end', async t => {
  const clock = new VirtualClock()
  const again = (): void => { clock.callAt(5, again) }
  again()
  await t.throwsAsync(clock.advance(10), { message: /time stands still at 5 ms/ })
})

// The sum and the difference of a time and a suspension, each rounded, do not always give the time again.
test('should show hosts that were suspended no time before the deadline of the timer that fires', async t => {
  const random = seededRandom(1)
  let checkedCount = 0
  for (let round = 0; round < 200; round++) {
    const shared = new VirtualClock()
    const processor = new BilledProcessor(shared, 1)
    const hostClock = new HostClock(shared, 1_000 * random.real())
    processor.suspend(3_000 * random.real())
    hostClock.suspend()
    await shared.advance(4_000 * random.real())
    hostClock.wake()
    for (const clock of [processor.clock, hostClock]) {
      const deadlineMs = clock.nowMs() + 5_000 * random.real()
      clock.callAt(deadlineMs, () => {
        checkedCount++
        t.true(clock.nowMs() >= deadlineMs, `${clock.nowMs()} < ${deadlineMs}`)
      })
    }
    await shared.advance(10_000)
  }
  t.is(checkedCount, 400)
})
