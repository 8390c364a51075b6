import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { ExitCode } from '../../src/cli/exitCode.js'
import { explainFromLogs } from '../../src/cli/logExplanation.js'

const STARTED_AT_MS = 1_700_000_000_000

function line (atMs: number, host: string, eventNumber: number, fields: Record<string, unknown>): string {
  const context = { program: 'store', host, eventNumber, ...fields, logLevel: 30 }
  return JSON.stringify({ context, message: `text of ${eventNumber}`, sequence: '1', time: STARTED_AT_MS + atMs, version: '2.0.0' })
}

const storeLog = [
  line(-60_000, 'store-1', 1011, { term: 1 }),
  line(0, 'store-1', 3230, { batchId: 'b1', itemId: 'i1', endpointId: 'e1' }),
  line(900, 'store-2', 1011, { term: 2 }),
  line(950, 'store-2', 3230, { batchId: 'b1', itemId: 'i1', endpointId: 'e2' }),
  line(960, 'store-2', 3230, { batchId: 'b1', itemId: 'other', endpointId: 'e2' }),
  line(1_000, 'store-2', 1105, { endpointId: 'e2' }),
  line(1_001, 'store-2', 1105, { endpointId: 'e9' }),
  line(1_500, 'store-2', 3233, { batchId: 'b1', itemId: 'i1', rewardId: 'r1', status: 500 }),
  line(1_600, 'store-2', 3235, { batchId: 'b1', itemId: 'i1' }),
  line(9_000, 'store-1', 1011, { term: 3 })
]
const collected = storeLog.map(text => `   1.234 store-1 ${text}`)

function explain (id: string, logs: string[][], asJson = false): { exitCode: ExitCode, out: string[], err: string[] } {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-logs-'))
  const files = logs.map((lines, position) => {
    const file = join(folder, `${position}.log`)
    writeFileSync(file, lines.join('\n'))
    return file
  })
  const out: string[] = []
  const err: string[] = []
  const exitCode = explainFromLogs({ id, files, output: { print: text => out.push(text), error: text => err.push(text) }, asJson })
  return { exitCode, out, err }
}

test('should show the events of an item in order, with concurrent changes of leaders and engines', t => {
  const { exitCode, out } = explain('i1', [collected.toReversed()])
  t.is(exitCode, ExitCode.Done)
  t.deepEqual(out.map(text => text.trim().split(/\s+/).slice(0, 5).join(' ')), [
    '0.000 * store-1 store 3230', '0.900 store-2 store 1011 text', '0.950 * store-2 store 3230',
    '1.000 store-2 store 1105 text', '1.500 * store-2 store 3233', '1.600 * store-2 store 3235'
  ])
})

test('should follow an item to its reward call in the log of another process', t => {
  const gateway = [line(1_400, 'store-2', 2602, { attemptId: 'r1', endpointId: 'e7', reason: 'endpoint_error' })]
  const { out } = explain('i1', [storeLog, gateway])
  t.true(out.some(text => /^ +1\.400 \+ store-2 store 2602 .*endpointId=e7 reason=endpoint_error$/.test(text)))
})

test('should skip truncated lines and lines of other programs', t => {
  const { exitCode } = explain('i1', [[...storeLog, storeLog[1]?.slice(0, 60) ?? '', 'something else', '']])
  t.is(exitCode, ExitCode.Done)
})

test('should report that no line contains an id', t => {
  const { exitCode, err } = explain('unheard-of', [storeLog])
  t.is(exitCode, ExitCode.NotFound)
  t.regex(err.join(), /none of 10 lines in 1 files names "unheard-of"/)
})

test('should print JSON for scripts', t => {
  const { out } = explain('i1', [storeLog], true)
  const shown = JSON.parse(out.join('\n')) as Array<{ eventNumber: number, relation: string }>
  t.is(shown.length, 6)
  t.is(shown[0]?.relation, 'own')
})

test('should link a withheld attempt to the crashes of endpoints by its digest', t => {
  const digest = 'd'.repeat(32)
  const first = [line(0, 'entry-1', 2650, { endpointId: 'e1', suspects: [digest, '7'.repeat(32)] }), line(5, 'entry-1', 2651, { digest, endpointIds: ['e1'] })]
  const second = [line(400, 'entry-2', 2650, { endpointId: 'e2', suspects: ['8'.repeat(32)] }), line(900, 'entry-2', 2654, { digest, attemptId: 'a9', route: 'open' })]
  const { out } = explain('a9', [first, second])
  t.deepEqual(out.map(text => text.trim().split(/\s+/).slice(1, 5).join(' ')), ['+ entry-1 store 2650', '+ entry-1 store 2651', '* entry-2 store 2654'])
})
