import test from 'ava'
import { ControlProcesses } from '../fixtures/controlProcesses.js'

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
    t.is(await control.weightOf(other, 'gold'), round)
  }
})
