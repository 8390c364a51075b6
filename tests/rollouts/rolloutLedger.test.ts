import test from 'ava'
import { RolloutLedger } from '../../src/control/ledgers/rolloutLedger.js'
import { SLOT_LEASE_MS } from '../../src/control/ledgers/rollouts/hostLeases.js'
import { appendSpans } from '../../src/entry/rollouts/slotWorker.js'
import { RolloutCommandKind, SampleDropReason } from '../../src/protocol/rolloutCommands.js'
import type { VersionSpan } from '../../src/protocol/trainers.js'
import { JOB, jobSpec, LedgerHarness } from '../fixtures/rollouts/ledgerHarness.js'

function opened (spec = {}): LedgerHarness {
  const harness = new LedgerHarness(spec)
  harness.open()
  harness.pull()
  return harness
}

test('should offer a group only when it is complete, and assign positions without gaps', t => {
  const harness = opened()
  const slots = harness.lease()
  t.is(slots.length, 4)
  const [a0, a1] = slots.filter(({ group }) => group === 0)
  const [b0, b1] = slots.filter(({ group }) => group === 1)
  if (!a0 || !a1 || !b0 || !b1) return t.fail('slots are missing')
  harness.commit(b0)
  harness.commit(a0)
  t.deepEqual(harness.positions(), [])
  harness.commit(b1)
  t.deepEqual(harness.positions(), [1, 2])
  harness.commit(a1)
  t.deepEqual(harness.positions(), [1, 2], 'a repeated pull gets the same samples')
  t.deepEqual(harness.positions({ heldPosition: 1 }), [2])
  t.like(harness.pull({ heldPosition: 2 }), { stepComplete: true })
  t.deepEqual(harness.positions({ heldPosition: 2 }), [3, 4])
})

test('should return the same attempts to a repeated pull on another host', t => {
  const harness = opened()
  for (const slot of harness.lease()) harness.commit(slot)
  const first = harness.pull()
  const again = harness.pull({ hostId: 'h2' })
  t.is(first.kind, 'advanced')
  t.deepEqual(again, first)
})

test('should fence the older session, and return the same session when its opening is resent', t => {
  const harness = opened()
  t.is(harness.open('s1'), 1)
  t.is(harness.open('s2'), 2)
  t.deepEqual(harness.pull({ sessionNumber: 1 }), { kind: 'sessionFenced', sessionNumber: 2 })
  t.like(harness.apply({ kind: RolloutCommandKind.PublishWeights, job: JOB, sessionNumber: 1, weightVersion: 9 }), { kind: 'sessionFenced' })
})

test('should refuse cursors and steps that contradict the state of the session', t => {
  const harness = opened()
  for (const slot of harness.lease()) harness.commit(slot)
  t.deepEqual(harness.positions(), [1, 2, 3, 4])
  t.like(harness.pull({ heldPosition: 5 }), { reason: 'aheadOfCursor' })
  t.like(harness.pull({ step: 1, heldPosition: 3 }), { reason: 'stepIncomplete' })
  t.deepEqual(harness.positions({ step: 1, heldPosition: 4 }), [])
  t.like(harness.pull({ heldPosition: 2, step: 1 }), { reason: 'behindCursor', confirmedPosition: 4 })
  t.like(harness.pull({ heldPosition: 4 }), { reason: 'stepPassed' })
})

test('should commit only the first complete attempt, and refuse late ones', t => {
  const harness = opened()
  const [slot] = harness.lease('h1', 1)
  if (!slot) return t.fail()
  harness.atMs += SLOT_LEASE_MS
  const [again] = harness.lease('h2', 1)
  t.like(again, { step: slot.step, group: slot.group, index: slot.index, earlierAttemptsCount: 1 })
  t.deepEqual(harness.commit(slot), { kind: 'sampleRefused', reason: SampleDropReason.Late })
  t.is(harness.commit(again ?? slot).kind, 'sampleCommitted')
  t.is(harness.commit(again ?? slot).kind, 'sampleCommitted', 'a resent commit is the same commit')
})

test('should free the slots that a host does not list, and those of its earlier incarnation', t => {
  const harness = opened()
  const [kept, lost] = harness.lease('h1', 2)
  const renewed = harness.renew('h1', [kept?.attemptId ?? '', 'unknown'])
  t.deepEqual(renewed.revokedAttemptIds, ['unknown'])
  t.like(harness.commit(lost ?? t.fail() as never), { reason: SampleDropReason.Late })
  const restarted = harness.renew('h1', [], { maxSlotsCount: 4 }, 2)
  t.is(restarted.slots.length, 4)
  t.throws(() => harness.renew('h1', [], {}, 1), { message: 'leaseSuperseded' })
})

test('should refuse a stale sample at the commit and run its slot again', t => {
  const harness = opened()
  const [slot] = harness.lease('h1', 1)
  harness.pull({ trainerVersion: 2 })
  t.deepEqual(harness.commit(slot ?? t.fail() as never, 0), { kind: 'sampleRefused', reason: SampleDropReason.Stale })
  t.like(harness.ledger.progress(JOB), { staleDroppedCount: 1, rerunCount: 1, waitingCount: 4 })
})

test('should drop offered samples when the trainer advances past the staleness bound', t => {
  const harness = opened()
  for (const slot of harness.lease()) harness.commit(slot, 0)
  t.deepEqual(harness.positions(), [1, 2, 3, 4], 'offered, but the reply is lost')
  t.deepEqual(harness.positions({ trainerVersion: 2 }), [])
  for (const slot of harness.lease()) harness.commit(slot, 2)
  const again = harness.pull({ trainerVersion: 2 })
  t.like(again, { stepComplete: true, deliverable: [{ position: 1, versions: [{ weightVersion: 2 }] }, { position: 2 }, { position: 3 }, { position: 4 }] })
})

test('should judge staleness against a publish that was applied before the pull', t => {
  const harness = opened({ stalenessBoundVersions: 0 })
  for (const slot of harness.lease()) harness.commit(slot, 0)
  harness.apply({ kind: RolloutCommandKind.PublishWeights, job: JOB, sessionNumber: 1, weightVersion: 1 })
  t.deepEqual(harness.positions({ trainerVersion: 0 }), [], 'the trainer has version 1, whatever version the concurrent pull states')
  t.like(harness.ledger.progress(JOB), { staleDroppedCount: 4, waitingCount: 4 })
})

test('should not drop offered samples for a publish that is applied after the pull', t => {
  const harness = opened({ stalenessBoundVersions: 0 })
  for (const slot of harness.lease()) harness.commit(slot, 0)
  t.deepEqual(harness.positions(), [1, 2, 3, 4])
  harness.apply({ kind: RolloutCommandKind.PublishWeights, job: JOB, sessionNumber: 1, weightVersion: 1 })
  t.deepEqual(harness.positions({ step: 1, heldPosition: 4, trainerVersion: 1 }), [], 'step 1 starts; no sample of step 0 is generated again')
  t.like(harness.ledger.progress(JOB), { staleDroppedCount: 0, confirmedPosition: 4 })
})

test('should fill the position of a lost content again, and withhold its group until then', t => {
  const harness = opened()
  for (const slot of harness.lease()) harness.commit(slot)
  t.deepEqual(harness.positions(), [1, 2, 3, 4])
  const offered = harness.pull()
  if (offered.kind !== 'advanced') return t.fail()
  const lost = offered.deliverable[3]
  if (!lost) return t.fail()
  const { job, step, group, index, attemptId } = lost
  const drop = { kind: RolloutCommandKind.DropSample, job, step, group, index, attemptId, reason: SampleDropReason.ContentLost } as const
  harness.apply(drop)
  harness.apply(drop)
  t.deepEqual(harness.positions(), [1, 2], 'the group of the lost sample is incomplete')
  const [again] = harness.lease()
  harness.commit(again ?? t.fail() as never)
  const replayed = harness.pull({ heldPosition: 2 })
  t.like(replayed, { deliverable: [{ position: 3 }, { position: 4, group, index, attemptId: again?.attemptId }], stepComplete: true })
})

test('should start slots with a long expected length first, and slots that block the trainer before them', t => {
  const harness = opened({ prompts: ['short', 'long'], groupSizeCount: 1 })
  for (const slot of harness.lease()) harness.commit(slot, 0, slot.prompt === 'long' ? 900 : 30)
  harness.positions()
  harness.pull({ step: 1, heldPosition: 2 })
  t.deepEqual(harness.lease().map(({ prompt }) => prompt), ['long', 'short'])
})

test('should start later steps only with weights that will be within the staleness bound, and none of them at a stalenessWeight of 1', t => {
  const ahead = (stalenessWeight: number): number => {
    const harness = opened({ startAheadSteps: 2, stalenessWeight })
    return harness.lease('h1', 100, 100).filter(({ isAhead }) => isAhead).length
  }
  t.is(ahead(0), 4, 'one step ahead at a bound of one version')
  t.is(ahead(1), 0, 'nothing ahead of its weights when only staleness counts')
})

test('should keep the size of its state bounded over many steps', t => {
  const harness = opened({ startAheadSteps: 1 })
  const sizes: number[] = []
  let heldPosition = 0
  for (let step = 0; step < 50; step++) {
    harness.pull({ step, heldPosition, trainerVersion: step })
    for (const slot of harness.lease()) harness.commit(slot, step)
    heldPosition += harness.positions({ step, heldPosition, trainerVersion: step }).length
    sizes.push(JSON.stringify(harness.ledger.snapshot()).length)
  }
  t.is(heldPosition, 200)
  t.true((sizes[49] ?? 0) < 1.2 * (sizes[5] ?? 0), `grew from ${sizes[5]} to ${sizes[49]} bytes`)
})

test('should continue from a snapshot with the same state, and remove a deleted job', t => {
  const harness = opened()
  const [slot] = harness.lease('h1', 1)
  harness.commit(slot ?? t.fail() as never)
  const copy = new RolloutLedger(() => jobSpec())
  copy.restore(harness.ledger.snapshot())
  t.deepEqual(copy.progress(JOB), harness.ledger.progress(JOB))
  harness.spec.current = undefined
  t.is(harness.pull().kind, 'unknownJob')
  t.is(harness.ledger.progress(JOB), null)
})

test('should keep the spans of different versions, engines and incarnations apart', t => {
  const span = (fromToken: number, changes: Partial<VersionSpan> = {}): VersionSpan => ({ fromToken, toToken: fromToken + 10, weightVersion: 1, engineId: 'e1', engineIncarnation: 1, ...changes })
  const joined = [span(0), span(10), span(20, { weightVersion: 2 }), span(30, { weightVersion: 2, engineId: 'e2' }), span(40, { weightVersion: 2, engineId: 'e2', engineIncarnation: 2 })]
    .reduce((spans: VersionSpan[], next) => appendSpans(spans, [next]), [])
  t.deepEqual(joined.map(({ fromToken, toToken }) => `${fromToken}-${toToken}`), ['0-20', '20-30', '30-40', '40-50'])
})
