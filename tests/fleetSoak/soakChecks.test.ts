import test from 'ava'
import { findViolations } from '../../bench/fleetSoak/soakChecks.js'
import { responseTo, CallKind, emptyRecord, eventsCountOf, eventText, type ObservedBatch, type ObservedItem, type SoakRecord } from '../../bench/fleetSoak/soakRecord.js'

const IP = '127.0.50.5'

function item (itemId: string, version = 2): ObservedItem {
  const lines = Array.from({ length: eventsCountOf(itemId) }, (_, index) => eventText(itemId, index + 1, version))
  return { itemId, state: 'completed', text: lines.join('\n'), versions: [version] }
}

function batch (changes: Partial<ObservedBatch> = {}): ObservedBatch {
  const items = [item('a'), item('b')]
  return { batchId: 'lot', itemIds: ['a', 'b'], minVersion: 2, acceptedAtMs: 1_000, isEndedEarly: false, firstRead: items, atEnd: items, ...changes }
}

/** The record of a run without violations. */
function passingRecord (): SoakRecord {
  return {
    ...emptyRecord(),
    arrivals: [
      { attemptId: 'r1', endpointName: 'e1', fromIp: IP, atMs: 900, isRun: true },
      { attemptId: 'r2', endpointName: 'e1', fromIp: IP, atMs: 950, isRun: false }
    ],
    calls: [
      { attemptId: 'r1', kind: CallKind.AtMostOnce, sentAtMs: 890, status: 200, body: responseTo('r1'), hasReceipt: true },
      { attemptId: 'r2', kind: CallKind.AtMostOnce, sentAtMs: 940, status: 503, body: '', hasReceipt: false }
    ],
    batches: [batch()],
    leaves: [{ endpointName: 'e1', confirmedAtMs: 1_000 }],
    configurations: [{ version: 3, confirmedAtMs: 5_000 }],
    probes: [{ version: 3, sentAtMs: 8_000, status: 200 }],
    readBackVersion: 3
  }
}

test('should find nothing in a run without violations', t => {
  t.deepEqual(findViolations(passingRecord()), [])
})

const violatingRecords: Array<[string, RegExp, (record: SoakRecord) => void]> = [
  ['an answer that belongs to another request', /belongs to another request/, record => { record.calls[0]!.body = responseTo('r7') }],
  ['a success without a receipt', /without a receipt/, record => { record.calls[0]!.hasReceipt = false }],
  ['a second run of what may run once', /ran 2 times/, record => { record.arrivals.push({ attemptId: 'r1', endpointName: 'e2', fromIp: IP, atMs: 960, isRun: true }) }],
  ['a refusal of what has run', /states that it did not run, but/, record => { record.arrivals[1]!.isRun = true }],
  ['a request to an endpoint that has left', /2100 ms after its deregistration/, record => { record.arrivals.push({ attemptId: 'r9', endpointName: 'e1', fromIp: IP, atMs: 3_100, isRun: false }) }],
  ['a request that still reaches endpoints after it crashed three', /deadly-1: sent to endpoints 4 times more than 3000 ms after/, record => {
    for (const atMs of [1_000, 1_200, 1_400]) record.ends.push({ callerId: 'deadly-1', endpointName: `e${atMs}`, atMs })
    for (const atMs of [4_500, 4_600, 4_700, 4_800]) record.arrivals.push({ attemptId: `deadly-1-${atMs}`, endpointName: 'e9', fromIp: IP, atMs, isRun: true })
  }],
  ['an accepted batch that cannot be read', /cannot be read/, record => { record.batches[0]!.atEnd = undefined }],
  ['an item that is not listed', /b was accepted and is not listed/, record => { record.batches = [batch({ atEnd: [item('a')], firstRead: [] })] }],
  ['an item that is listed twice', /a is listed twice/, record => { record.batches = [batch({ atEnd: [item('a'), item('b'), item('a')] })] }],
  ['a result that has changed', /result of a has changed/, record => { record.batches = [batch({ firstRead: [item('a', 3)] })] }],
  ['a text that lacks an event', /not its complete output/, record => { record.batches[0]!.atEnd![0]!.text = item('a').text.split('\n').slice(1).join('\n') }],
  ['wrong versions', /versions 2, not 3/, record => { record.batches[0]!.atEnd![0]!.versions = [3] }],
  ['a version that is too old', /below 2/, record => { record.batches = [batch({ firstRead: [], atEnd: [item('a', 1), item('b')] })] }],
  ['a configuration that is not in force in time', /did not apply configuration 3/, record => { record.probes[0]!.status = 404 }],
  ['a confirmed configuration that was lost', /2 was read back/, record => { record.readBackVersion = 2 }],
  ['a program that exited unexpectedly', /exited unexpectedly: entry-1/, record => { record.ownEnds.push('entry-1 with 70') }],
  ['a program that does not serve after its last fault', /did not start: entry-1/, record => { record.silentListeners.push('entry-1 (edge)') }]
]

for (const [what, line, breakIt] of violatingRecords) {
  test(`should find ${what}`, t => {
    const record = passingRecord()
    breakIt(record)
    const violations = findViolations(record)
    t.is(violations.length, 1, violations.join('\n'))
    t.regex(violations[0] ?? '', line)
  })
}

test('should not require items of a batch whose trainer ended it before they were listed', t => {
  const record = passingRecord()
  record.batches = [batch({ atEnd: [item('a')], firstRead: [], isEndedEarly: true })]
  t.deepEqual(findViolations(record), [])
})

test('should check time limits only where no fault was active', t => {
  const record = passingRecord()
  record.arrivals.push({ attemptId: 'r9', endpointName: 'e1', fromIp: IP, atMs: 3_100, isRun: false })
  record.probes[0]!.status = 404
  record.disturbances.push({ kind: 'cut', target: 'entry-1', targetIps: [IP], hitsControl: false, fromMs: 2_000, untilMs: 5_500 })
  t.deepEqual(findViolations(record), [])
})

test('should expect a host to know a confirmed deregistration although a control host is partitioned since before it', t => {
  const record = passingRecord()
  record.arrivals.push({ attemptId: 'r9', endpointName: 'e1', fromIp: IP, atMs: 3_100, isRun: false })
  const cut = { kind: 'cut', target: 'control-1', targetIps: ['127.0.50.1'], hitsControl: true, fromMs: 500, untilMs: 5_500 }
  record.disturbances = [cut]
  t.is(findViolations(record).length, 1)
  record.disturbances = [{ ...cut, fromMs: 1_500 }]
  t.deepEqual(findViolations(record), [], 'the leader may have been hit after it confirmed')
})

test('should find a slow reader whose broken-off answer looks complete, and allow one that does not', t => {
  const broken = { attemptId: 'large-1', status: 200, body: responseTo('large-1').slice(0, 9) }
  t.deepEqual(findViolations({ ...passingRecord(), slowReads: [{ ...broken, isComplete: false }] }), [])
  t.is(findViolations({ ...passingRecord(), slowReads: [{ ...broken, isComplete: true }] }).length, 1)
})
