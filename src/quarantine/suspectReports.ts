/**
 * Tells the control hosts under which requests endpoints ended, and which of
 * those were answered after all. A data centre of endpoints that goes loses
 * hundreds of requests at once, nearly all of which are answered by the next
 * endpoint and never heard of again, so a first end waits for that; the log of
 * the control hosts gets one entry for what is left.
 */
import { MAX_DIGESTS_PER_END, MAX_ENDS_PER_REPORT, type EndedEndpoint } from '../protocol/quarantine.js'
import { RoutingCommandKind, type RoutingCommand } from '../protocol/routingCommands.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'
import { QuarantineEvent } from './quarantineEvents.js'

/** What else ended at the same moment goes into the same report. */
const BATCHING_DELAY_MS = 10
/** Room for the next endpoint's answer to an innocent request; a twentieth of the 3 s within which all hosts have to hear of a third end. Chosen, not measured. */
const FIRST_TERMINATION_DELAY_MS = 150
/** One line in the log for so long without a quorum; then it is tried again: the ends of before count with those to come. */
const REPORT_TIMEOUT_MS = 10_000
const MAX_CLEARED_PER_REPORT = 128

export interface SuspectReportsOptions {
  clock: Clock
  logger: Logger
  /** Commits a command; true once a quorum has it, false when the time of the progress is over. */
  submit: (command: RoutingCommand, progress: Progress) => Promise<boolean>
}

export class SuspectReports {
  private readonly _options: SuspectReportsOptions
  /** Digests by the endpoint that ended. */
  private readonly _terminations = new Map<string, Set<string>>()
  private readonly _cleared = new Set<string>()
  private readonly _scheduled = new Signal()
  private _dueAtMs = Number.POSITIVE_INFINITY
  private _droppedCount = 0

  constructor (options: SuspectReportsOptions) {
    this._options = options
  }

  /** @param isFirst no other end of the request is known: what it does next is worth waiting for */
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

  /** The request was answered. @param isReported the control hosts may know of an end */
  cleared (digest: string, isReported: boolean): void {
    for (const [endpointId, digests] of this._terminations) {
      if (digests.delete(digest) && digests.size === 0) this._terminations.delete(endpointId)
    }
    if (!isReported || this._cleared.size >= MAX_CLEARED_PER_REPORT) return
    this._cleared.add(digest)
    this._scheduleWithin(BATCHING_DELAY_MS)
  }

  /** Reports until the scope closes. */
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
    // What was answered since counts for more than the ends before it.
    if (ends.length > 0) await this._submit({ kind: RoutingCommandKind.NoteEnds, ends }, scope)
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
