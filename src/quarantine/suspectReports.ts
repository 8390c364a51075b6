/**
 * Reports to the control hosts which requests ran on terminated endpoints, and
 * which of these requests were answered after all. When all endpoints of a data centre
 * terminate, hundreds of requests are lost at once; nearly all of them are answered
 * by the next endpoint and need no report. A first termination is therefore
 * reported with a delay, and the log of the control hosts gets one entry for the requests that remain.
 */
import { MAX_DIGESTS_PER_END, MAX_ENDS_PER_REPORT, type EndedEndpoint } from '../protocol/quarantine.js'
import { RoutingCommandKind, type RoutingCommand } from '../protocol/routingCommands.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'
import { QuarantineEvent } from './quarantineEvents.js'

/** Delay that lets simultaneous terminations share one report. */
const BATCHING_DELAY_MS = 10
/** Time for another endpoint to answer an innocent request; a twentieth of the 3 s within which all hosts must know of a third termination. */
const FIRST_TERMINATION_DELAY_MS = 150
/** Without a quorum, one event is logged per interval and the report is repeated, so that earlier terminations count together with later ones. */
const REPORT_TIMEOUT_MS = 10_000
const MAX_CLEARED_PER_REPORT = 128

export interface SuspectReportsOptions {
  clock: Clock
  logger: Logger
  /** Commits a command; resolves with true once a quorum has the command, with false when the deadline of `progress` passes first. */
  submit: (command: RoutingCommand, progress: Progress) => Promise<boolean>
}

export class SuspectReports {
  private readonly _options: SuspectReportsOptions
  /** Digests of the requests that ran at a terminated endpoint, by the id of the endpoint. */
  private readonly _terminations = new Map<string, Set<string>>()
  private readonly _cleared = new Set<string>()
  private readonly _scheduled = new Signal()
  private _dueAtMs = Number.POSITIVE_INFINITY
  private _droppedCount = 0

  constructor (options: SuspectReportsOptions) {
    this._options = options
  }

  /** @param isFirst no other termination is known for the request, so the report waits for an answer that may clear it */
  ended (endpointId: string, digest: string, isFirst: boolean): void {
    const digests = this._terminations.get(endpointId) ?? new Set()
    if (digests.size >= MAX_DIGESTS_PER_END || (!this._terminations.has(endpointId) && this._terminations.size >= MAX_ENDS_PER_REPORT)) {
      this._droppedCount++
      return
    }
    digests.add(digest)
    this._terminations.set(endpointId, digests)
    this._scheduleWithin(isFirst ? FIRST_TERMINATION_DELAY_MS : BATCHING_DELAY_MS)
  }

  /**
   * Drops a request that was answered from the pending report.
   * @param isReported the control hosts may know of a termination, so the control hosts are told that the request is cleared
   */
  cleared (digest: string, isReported: boolean): void {
    for (const [endpointId, digests] of this._terminations) {
      if (digests.delete(digest) && digests.size === 0) this._terminations.delete(endpointId)
    }
    if (!isReported || this._cleared.size >= MAX_CLEARED_PER_REPORT) return
    this._cleared.add(digest)
    this._scheduleWithin(BATCHING_DELAY_MS)
  }

  /** Sends reports until the scope closes. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      if (this._dueAtMs === Number.POSITIVE_INFINITY) await this._scheduled.wait(scope)
      while (clock.nowMs() < this._dueAtMs) await this._scheduled.wait(scope, { clock, deadlineMs: this._dueAtMs })
      this._dueAtMs = Number.POSITIVE_INFINITY
      await this._report(scope)
    }
  }

  private _scheduleWithin (delayMs: number): void {
    const dueAtMs = this._options.clock.nowMs() + delayMs
    if (dueAtMs >= this._dueAtMs) return
    this._dueAtMs = dueAtMs
    this._scheduled.notify()
  }

  private async _report (scope: Scope): Promise<void> {
    const ends: EndedEndpoint[] = [...this._terminations].map(([endpointId, digests]) => ({ endpointId, digests: [...digests] }))
    const digests = [...this._cleared]
    this._terminations.clear()
    this._cleared.clear()
    this._logDropped()
    // Sent after the terminations, so that an answer overrides the terminations before it.
    if (ends.length > 0) await this._submit({ kind: RoutingCommandKind.RecordEnds, ends }, scope)
    if (digests.length > 0) await this._submit({ kind: RoutingCommandKind.ClearSuspects, digests }, scope)
  }

  private async _submit (command: RoutingCommand, scope: Scope): Promise<void> {
    const { clock, logger, submit } = this._options
    while (!await submit(command, new Progress(clock, scope, clock.nowMs() + REPORT_TIMEOUT_MS))) {
      logger.event(QuarantineEvent.ReportFailed, { command: command.kind })
    }
  }

  private _logDropped (): void {
    if (this._droppedCount > 0) this._options.logger.event(QuarantineEvent.SuspectsDropped, { count: this._droppedCount })
    this._droppedCount = 0
  }
}
