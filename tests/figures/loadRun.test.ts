import test from 'ava'
import { experimentSchema, type Experiment } from '../../src/load/experiment.js'
import { LoadRun } from '../../src/load/loadRun.js'
import type { Report } from '../../src/load/report.js'
import { systemClock } from '../../src/utils/clock.js'
import { Scope } from '../../src/utils/scope.js'
import { FakeEntry, refusalNotRun, type FakeAnswer } from '../fixtures/fakeEntry.js'

const service = { name: 'review', kind: 'service', pool: 'cards', path: '/reviews', idempotencyKey: true, deadlineMs: 60_000 }
const completion = { name: 'hint', kind: 'completion', model: 'practice-lm', deadlineMs: 60_000 }

function experimentAt (address: string, changes: object): Experiment {
  return experimentSchema.parse({
    name: 'test',
    durationMs: 300,
    dataCentre: 'hall-a',
    entryHosts: [address],
    rate: { perSecond: 100 },
    workloads: [service],
    records: [{ pool: 'cards', url: `http://${address}/record` }],
    ...changes
  })
}

async function run (entry: FakeEntry, changes: object = {}): Promise<Report> {
  if (entry.address === '') await entry.listen()
  const scope = new Scope('test')
  const load = new LoadRun(experimentAt(entry.address, changes), {
    clock: systemClock, scope, pids: new Map(), send: () => {}, onProgress: () => {}
  })
  const outcome = await load.run()
  entry.close()
  if (outcome.kind !== 'report') throw new Error(outcome.reason)
  return outcome.report
}

function answering (answer: FakeAnswer): FakeEntry {
  const entry = new FakeEntry()
  entry.decide = () => answer
  return entry
}

test('should report complete answers and no violated invariant for a host without faults', async t => {
  const entry = new FakeEntry()
  const report = await run(entry, { workloads: [service, completion, { ...completion, name: 'second', priorityClass: 'paid' }] })
  t.true(report.all.sentCount > 10)
  t.is(report.all.wholeCount, report.all.sentCount)
  t.is(report.brokenCount, 0, JSON.stringify(report.broken))
  t.is(report.recordCheckedCount, report.byWorkload.find(({ name }) => name === 'review')?.sentCount ?? 0)
  t.is(report.seconds.reduce((sum, { sentCount }) => sum + sentCount, 0), report.all.sentCount)
  t.deepEqual(report.byClass.map(({ name }) => name).sort(), ['(none)', 'paid'])
  t.is(entry.adviceCount, 1, 'advice is cached while it is valid')
})

test('should retry at the time that a refusal names, and succeed then', async t => {
  const entry = new FakeEntry()
  entry.decide = (_path, tryNumber) => tryNumber === 1 ? { kind: 'refused', refusal: refusalNotRun(20) } : { kind: 'whole' }
  const report = await run(entry)
  t.is(report.all.wholeCount, report.all.sentCount)
  t.is(report.all.triesCount, 2 * report.all.sentCount)
  t.true((report.all.latency?.p50Ms ?? 0) >= 20, 'the pause is part of the latency')
})

test('should retry on the hosts that a refusal names', async t => {
  const [first, second] = [new FakeEntry(), new FakeEntry()]
  await second.listen()
  first.decide = () => ({ kind: 'refused', refusal: refusalNotRun(undefined, [second.address]) })
  const report = await run(first, { records: [] })
  second.close()
  t.is(report.all.wholeCount, report.all.sentCount)
  t.is(second.triesByPath.size, report.all.sentCount)
})

test('should count final refusals by reason and whether the request was executed', async t => {
  const report = await run(answering({ kind: 'refused', refusal: refusalNotRun() }))
  t.deepEqual(report.all.refusals, { 'queue_full (executed: no)': report.all.sentCount })
  t.is(report.brokenCount, 0)
})

const faults: Array<[FakeAnswer, string, object]> = [
  [{ kind: 'refused', refusal: refusalNotRun(), executes: true }, 'false_not_run', service],
  [{ kind: 'doubled' }, 'ran_twice', service],
  [{ kind: 'invented' }, 'never_ran', service],
  [{ kind: 'crossed' }, 'crossed_answer', service],
  [{ kind: 'crossed' }, 'crossed_answer', completion],
  [{ kind: 'partial' }, 'partial_answer', completion],
  [{ kind: 'partial' }, 'partial_answer', { ...completion, stream: false }]
]

for (const [answer, invariant, workload] of faults) {
  const { name, stream } = workload as { name: string, stream?: boolean }
  test(`should report ${invariant} of a ${name} ${stream === false ? 'in one piece ' : ''}at a host that is ${answer.kind}`, async t => {
    const report = await run(answering(answer), { workloads: [workload] })
    t.is(report.brokenCount, report.all.sentCount)
    t.true(report.broken.every(broken => broken.invariant === invariant), JSON.stringify(report.broken[0]))
  })
}

test('should count a disconnected stream as lost, not as a violation, and retry it', async t => {
  const entry = new FakeEntry()
  entry.decide = (_path, tryNumber) => tryNumber === 1 ? { kind: 'cut' } : { kind: 'whole' }
  const report = await run(entry, { workloads: [completion] })
  t.is(report.brokenCount, 0)
  t.is(report.all.wholeCount, report.all.sentCount)
  t.is(report.all.triesCount, 2 * report.all.sentCount)
})
