/**
 * Runs an experiment as an open loop: sends every request when it is due,
 * regardless of earlier outcomes, waits for outstanding answers, and reports.
 */
import { Agent } from 'undici'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { seededRandom } from '../utils/randomSource.js'
import { httpConnector } from '../utils/httpConnector.js'
import type { Scope } from '../utils/scope.js'
import { AdviceCache } from './adviceCache.js'
import { arrivalTimes, drawWorkload } from './arrivals.js'
import type { Experiment } from './experiment.js'
import { injectFaults, type FaultReport, type SendSignal } from './faults.js'
import { checkAgainstRecords, readRecords } from './recordCheck.js'
import { Recorder } from './recorder.js'
import type { Report } from './report.js'
import type { PlannedRequest, RequestOutcome } from './requestOutcome.js'
import { RequestRunner } from './requestRunner.js'

export interface LoadRunOptions {
  clock: Clock
  scope: Scope
  /** Process ids, keyed by the process names in the experiment's faults. */
  pids: ReadonlyMap<string, number>
  send: SendSignal
  /** Called about once a second. */
  onProgress (line: string): void
}

export type LoadOutcome = { kind: 'report', report: Report } | { kind: 'recordUnreadable', url: string, reason: string }

const PROGRESS_INTERVAL_MS = 1_000
/** Digits of the timestamp that keep the tags of successive runs against one system apart. */
const RUN_TAG_DIGITS = 6

export class LoadRun {
  private readonly _experiment: Experiment
  private readonly _options: LoadRunOptions
  private readonly _startAtMs: number
  private readonly _recorder: Recorder
  private readonly _runner: RequestRunner
  private readonly _adviceCache: AdviceCache
  private readonly _agent = new Agent({ connect: httpConnector({}), pipelining: 1 })
  private readonly _outcomes: RequestOutcome[] = []
  private readonly _inFlight = new Set<Promise<void>>()
  private readonly _runTag: string
  private _notSentCount = 0
  private _worstSendLagMs = 0

  constructor (experiment: Experiment, options: LoadRunOptions) {
    const { clock } = options
    this._experiment = experiment
    this._options = options
    this._startAtMs = clock.nowMs()
    this._runTag = clock.wallMs().toString(36).slice(-RUN_TAG_DIGITS)
    this._recorder = new Recorder(this._startAtMs, experiment.warmUpMs)
    this._adviceCache = new AdviceCache({ ...experiment, clock, dispatcher: this._agent })
    this._runner = new RequestRunner({ clock, dispatcher: this._agent, adviceCache: this._adviceCache })
  }

  async run (): Promise<LoadOutcome> {
    const { clock, scope, pids, send } = this._options
    const startedAt = new Date(clock.wallMs()).toISOString()
    const faults = injectFaults(this._experiment.faults, pids, send, clock, scope)
    await this._sendAll()
    await Promise.all(this._inFlight)
    const faultReports = await faults
    await this._agent.destroy()
    return await this._createReport(startedAt, faultReports)
  }

  private async _sendAll (): Promise<void> {
    const { rate, durationMs, seed, workloads } = this._experiment
    const { clock, scope } = this._options
    const arrivalRandom = seededRandom(seed)
    const workloadRandom = seededRandom(seed + 1)
    let number = 0
    let progressAtMs = 0
    for (const dueMs of arrivalTimes(rate, durationMs, arrivalRandom)) {
      const workload = drawWorkload(workloads, workloadRandom)
      const caller = workload.callers[workloadRandom.int(0, workload.callers.length - 1)]!
      const intendedAtMs = this._startAtMs + dueMs
      if (clock.nowMs() < intendedAtMs) await sleepUntil(clock, scope, intendedAtMs)
      this._worstSendLagMs = Math.max(this._worstSendLagMs, clock.nowMs() - intendedAtMs)
      this._send({ tag: `${this._runTag}-${number++}`, workload, caller, intendedAtMs, deadlineMs: intendedAtMs + workload.deadlineMs })
      if (dueMs >= progressAtMs) {
        this._options.onProgress(this._progressLine(dueMs))
        progressAtMs += PROGRESS_INTERVAL_MS
      }
    }
  }

  private _send (planned: PlannedRequest): void {
    if (this._inFlight.size >= this._experiment.maxInFlightCount) {
      this._notSentCount++
      return
    }
    const running = this._runner.run(planned, this._options.scope).then(outcome => {
      this._outcomes.push(outcome)
      this._recorder.add(outcome)
    })
    this._inFlight.add(running)
    running.finally(() => this._inFlight.delete(running)).catch(() => {})
  }

  private _progressLine (dueMs: number): string {
    const seconds = Math.round(dueMs / PROGRESS_INTERVAL_MS)
    return `${seconds} s: ${this._outcomes.length} completed, ${this._inFlight.size} in flight`
  }

  private async _createReport (startedAt: string, faults: FaultReport[]): Promise<LoadOutcome> {
    const { name, seed, durationMs, warmUpMs, records } = this._experiment
    const read = await readRecords(records)
    if (read.kind === 'unreadable') return { kind: 'recordUnreadable', url: read.url, reason: read.reason }
    const verdict = checkAgainstRecords(this._outcomes, read.byPool)
    for (const violation of verdict.broken) this._recorder.addViolation(violation)
    const report: Report = {
      tool: 'threaddrum-load',
      experiment: name,
      seed,
      startedAt,
      durationMs,
      warmUpMs,
      notSentCount: this._notSentCount,
      worstSendLagMs: this._worstSendLagMs,
      adviceUnansweredCount: this._adviceCache.unansweredCount,
      faults,
      recordCheckedCount: verdict.checkedCount,
      ...this._recorder.report(durationMs)
    }
    return { kind: 'report', report }
  }
}
