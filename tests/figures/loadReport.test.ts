import test from 'ava'
import { readdirSync } from 'node:fs'
import { arrivalTimes, rateAt } from '../../src/load/arrivals.js'
import { compareReports } from '../../src/load/compare.js'
import { experimentSchema, FaultSignal } from '../../src/load/experiment.js'
import { injectFaults, missingProcesses } from '../../src/load/faults.js'
import { LoadExitCode, runLoadCommand } from '../../src/load/loadCommand.js'
import { Recorder } from '../../src/load/recorder.js'
import type { Report } from '../../src/load/report.js'
import { renderReportPage } from '../../src/load/reportPage.js'
import type { RequestOutcome, AttemptOutcome } from '../../src/load/requestOutcome.js'
import { systemClock } from '../../src/utils/clock.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { readSettings } from '../../src/utils/settings.js'

const workload = experimentSchema.shape.workloads.element.parse({ name: 'look-up <b>', kind: 'service', pool: 'cards', path: '/decks', priorityClass: 'paid' })
const whole: AttemptOutcome = { kind: 'whole', tokensCount: 4, firstByteAtMs: 0 }

function outcome (intendedAtMs: number, endedAtMs: number, last: AttemptOutcome = whole): RequestOutcome {
  const planned = { tag: `t-${intendedAtMs}`, workload, caller: 'load', intendedAtMs, deadlineMs: intendedAtMs + 10_000 }
  return { planned, last, triesCount: 1, endedAtMs, isRefusedAsNotExecuted: false }
}

function reportOf (outcomes: RequestOutcome[], warmUpMs = 0): Report {
  const recorder = new Recorder(0, warmUpMs)
  for (const one of outcomes) recorder.add(one)
  return {
    tool: 'threaddrum-load',
    experiment: 'a & b',
    seed: 1,
    startedAt: '2026-01-01T00:00:00.000Z',
    durationMs: 10_000,
    warmUpMs,
    notSentCount: 0,
    worstSendLagMs: 0,
    adviceUnansweredCount: 0,
    recordCheckedCount: 0,
    faults: [{ atMs: 2_000, process: 'entry-1', signal: 'SIGKILL', outcome: 'sent' }],
    ...recorder.report(10_000)
  }
}

test('should generate the same arrival times for the same seed, and follow the rate of a spike', t => {
  const profile = { perSecond: 100, spikes: [{ atMs: 4_000, durationMs: 2_000, factor: 10 }] }
  const times = [...arrivalTimes(profile, 10_000, seededRandom(5))]
  t.deepEqual(times, [...arrivalTimes(profile, 10_000, seededRandom(5))])
  t.is(rateAt(profile, 5_000), 1_000)
  const inSpike = times.filter(atMs => atMs >= 4_000 && atMs < 6_000).length
  t.true(inSpike > 1_800 && inSpike < 2_200, `${inSpike} in the spike`)
  t.true(times.length - inSpike > 680 && times.length - inSpike < 920)
})

test('should measure latency from the time a request was due, so that a stall of the tool shows', t => {
  const stalled = Array.from({ length: 100 }, (_, index) => outcome(index * 10, Math.max(index * 10 + 1, 1_001)))
  const { latency } = reportOf(stalled).all
  t.true((latency?.maxMs ?? 0) >= 1_000)
  t.true((latency?.p50Ms ?? 0) >= 450, 'half of the requests waited at least 450 ms of the stall')
})

test('should exclude the warm-up from the statistics', t => {
  t.is(reportOf([outcome(100, 101), outcome(2_000, 2_001)], 1_000).all.sentCount, 1)
})

test('should render a self-contained page and escape its texts', t => {
  const refusal = { reason: 'queue_full', executed: 'no', message: '' } as never
  const page = renderReportPage(reportOf([outcome(0, 5), outcome(1_500, 1_510), outcome(3_000, 3_001, { kind: 'refused', refusal })]))
  t.notRegex(page, /NaN|undefined|Infinity/)
  t.notRegex(page, /(src|href)=|url\(|@import|<script/)
  t.regex(page, /Load report: a &amp; b/)
  t.regex(page, /look-up &lt;b&gt;/)
  t.is(page.match(/<svg /g)?.length, 3)
  t.regex(page, /class="mark-text"[^>]*>SIGKILL entry-1/)
})

test('should render a page for a run in which nothing was answered', t => {
  t.notRegex(renderReportPage(reportOf([outcome(0, 5, { kind: 'lost', reason: 'ECONNREFUSED' })])), /NaN|undefined|Infinity/)
})

test('should compare two reports by series and figure', t => {
  const { differences } = compareReports(reportOf([outcome(0, 10)]), reportOf([outcome(0, 20), outcome(1, 21)]))
  t.like(differences.find(({ series, figure }) => series === 'all' && figure === 'whole'), { before: 1, after: 2, ratio: 2 })
  t.is(differences.find(({ series, figure }) => series === 'class paid' && figure === 'p50 ms')?.ratio?.toFixed(1), '2.0')
})

test('should signal only the processes that were named, and report what failed', async t => {
  const fault = { atMs: 0, process: 'entry-1', signal: FaultSignal.Kill }
  t.deepEqual(missingProcesses([fault, { ...fault, process: 'entry-2' }], new Map([['entry-1', 11]])), ['entry-2'])
  const sent: Array<[number, string]> = []
  const send = (pid: number, signal: string): void => {
    sent.push([pid, signal])
    if (signal === 'SIGCONT') throw new Error('kill ESRCH')
  }
  const faults = [{ ...fault, atMs: 1, signal: FaultSignal.Continue }, fault]
  const reports = await injectFaults(faults, new Map([['entry-1', 11]]), send, systemClock, new Scope('test'))
  t.deepEqual(sent, [[11, 'SIGKILL'], [11, 'SIGCONT']])
  t.deepEqual(reports.map(({ outcome }) => outcome), ['sent', 'kill ESRCH'])
})

test('should ship examples that follow the schema', t => {
  const files = readdirSync('examples').filter(name => name.startsWith('load-'))
  t.true(files.length >= 3)
  for (const name of files) t.notThrows(() => readSettings(`examples/${name}`, experimentSchema), name)
})

test('should exit with the usage code and print one line when the command line is invalid', async t => {
  const wrong = [[], ['run', 'missing.toml'], ['run', 'examples/load-faults.toml'], ['run', 'examples/load-steady.toml', '--process', 'x'], ['page', 'package.json', '/dev/null'], ['walk']]
  for (const args of wrong) {
    const errors: string[] = []
    const options = { scope: new Scope('test'), version: '0', print: () => {}, printError: (line: string) => errors.push(line) }
    t.is(await runLoadCommand(['node', 'threaddrum-load', ...args], options), LoadExitCode.Usage, args.join(' '))
    t.is(errors.length, 1, args.join(' '))
  }
})
