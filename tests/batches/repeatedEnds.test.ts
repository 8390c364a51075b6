import test from 'ava'
import type { BatchReference } from '../../src/batches/batchClient.js'
import { RepeatedEnds } from '../../src/batches/repeatedEnds.js'
import type { EndBatchReply } from '../../src/transport/batchMethods.js'
import { silentLogger } from '../../src/utils/logger.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

type Reply = Exclude<EndBatchReply, { kind: 'notLeader' }>

const DOWN_MS = 4_000

function start (clock: VirtualClock, replyAt: (nowMs: number) => Reply) {
  const scope = new Scope('test')
  const asked: string[] = []
  const client = {
    end: async ({ batchId }: BatchReference): Promise<Reply> => {
      asked.push(batchId)
      return replyAt(clock.nowMs())
    }
  }
  const supervisor = new Supervisor(scope, (_task, error) => { throw error })
  return { scope, asked, ends: new RepeatedEnds({ client, clock, logger: silentLogger, supervisor }) }
}

// A batch whose end met a store without a leader stayed open, and its items ran on for a trainer that had gone on.
test('should repeat an end until the store has it, and then no more', async t => {
  const clock = new VirtualClock()
  const { scope, asked, ends } = start(clock, nowMs => (nowMs < DOWN_MS ? { kind: 'unavailable', reason: 'no leader' } : { kind: 'ended' }))
  ends.repeat({ batchId: 'b1' })
  ends.repeat({ batchId: 'b1' })
  await clock.advance(DOWN_MS + 1_000)
  const askedCount = asked.length
  t.true(askedCount >= 5 && askedCount <= 20, `asked ${askedCount} times`)
  await clock.advance(10_000)
  t.is(asked.length, askedCount)
  scope.close('test over')
})

test('should stop to repeat an end when the store does not come back', async t => {
  const clock = new VirtualClock()
  const { scope, asked, ends } = start(clock, () => ({ kind: 'unavailable', reason: 'no leader' }))
  ends.repeat({ batchId: 'b1' })
  await clock.advance(70_000)
  const askedCount = asked.length
  await clock.advance(30_000)
  t.is(asked.length, askedCount)
  scope.close('test over')
})
