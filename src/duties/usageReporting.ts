/**
 * Reports the usage of each window while this host leads: closes a window in the
 * replicated log once all hosts have reported their counts, or once half of the time
 * until the report is due has passed; sends closed windows until the infrastructure
 * has accepted them.
 */
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { UsageCommandKind, type UsageCommand } from '../protocol/usage.js'
import { DutyEvent } from './dutyEvents.js'
import type { DutyLease } from './dutyLease.js'
import { DutyKind, type DutyCall, type DutyOutcome, type Infrastructure } from './infrastructure.js'
import type { UsageLedger } from './usageLedger.js'
import type { UsageTally } from './usageTally.js'
import { windowEndsAtMs, windowOf, type UsageWindow } from './usageWindows.js'

const CHECK_INTERVAL_MS = 100
const COMMIT_TIMEOUT_MS = 1_000
const CALL_TIMEOUT_MS = 1_500
const RETRY_PAUSE_MS = 300
const MAX_RETRY_PAUSE_MS = 2_000
/** Share of the time between the end of a window and the due date of its report after which missing counts of hosts are no longer waited for. */
const WAIT_LIMIT_SHARE = 0.5
/** After a long time without a leader, older windows, which nobody needs any more, are skipped. */
const MAX_BACKLOG_COUNT = 720

export interface UsageReportingOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  lease: DutyLease
  ledger: UsageLedger
  tally: UsageTally
  infrastructure: Infrastructure
  /** Name of this host. */
  holder: string
  windowMs: number
  /** Time after the end of a window at which its report is due. */
  lateMs: number
  /** The time of day of the fleet. */
  wallMs: () => number
  /** Ids of the entry hosts that are connected now. */
  hostIds: () => string[]
  /** Whether there are client accounts whose usage is to be reported. */
  hasAccounts: () => boolean
  commit: (command: UsageCommand, progress: Progress) => Promise<boolean>
}

export class UsageReporting {
  private readonly _options: UsageReportingOptions
  private _retryAtMs = Number.NEGATIVE_INFINITY
  private _triesCount = 0

  constructor (options: UsageReportingOptions) {
    this._options = options
  }

  /** Runs until the scope closes: as long as this host leads. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + CHECK_INTERVAL_MS)
      if (!this._options.hasAccounts() || !await this._holdsDuty(scope)) continue
      await this._closeWindows(scope)
      await this._reportNext(scope)
    }
  }

  private async _holdsDuty (scope: Scope): Promise<boolean> {
    const { lease, holder, logger } = this._options
    if (lease.mayAct) return true
    if (!lease.mayClaim || !await this._commit({ kind: UsageCommandKind.Claim, holder }, scope)) return false
    logger.event(DutyEvent.DutyClaimed, { duty: DutyKind.ReportUsage, fencingNumber: lease.fencingNumber })
    return lease.mayAct
  }

  private async _closeWindows (scope: Scope): Promise<void> {
    const { ledger, tally, wallMs, windowMs } = this._options
    const currentWindowId = windowOf(wallMs(), windowMs)
    const firstWindowId = Math.max(ledger.nextWindowId ?? currentWindowId - 1, currentWindowId - MAX_BACKLOG_COUNT)
    for (let windowId = firstWindowId; windowId < currentWindowId; windowId++) {
      const isSettled = tally.isSettled(windowId, this._options.hostIds())
      if (!isSettled && !this._isWaitLimitReached(windowId)) return
      const counts = tally.countsOf(windowId)
      if (!await this._commit({ kind: UsageCommandKind.Close, windowId, counts }, scope)) return
      tally.forgetBefore(windowId + 1)
      this._logClosed({ windowId, counts }, isSettled)
    }
  }

  private _isWaitLimitReached (windowId: number): boolean {
    const { wallMs, windowMs, lateMs } = this._options
    return wallMs() >= windowEndsAtMs(windowId, windowMs) + WAIT_LIMIT_SHARE * lateMs
  }

  private _logClosed ({ windowId, counts }: UsageWindow, isSettled: boolean): void {
    const requestsCount = Object.values(counts).reduce((sum, count) => sum + count, 0)
    this._options.logger.event(DutyEvent.WindowClosed, { windowId, requestsCount, accountsCount: Object.keys(counts).length, isSettled, hostsCount: this._options.hostIds().length })
  }

  private async _reportNext (scope: Scope): Promise<void> {
    const { clock, ledger, lease, holder, infrastructure } = this._options
    const [window] = ledger.unreported
    if (!window || clock.nowMs() < this._retryAtMs) return
    const call: DutyCall = { kind: DutyKind.ReportUsage, ...window }
    const dutyHolder = { holder, fencingNumber: lease.fencingNumber }
    const startedAtMs = clock.nowMs()
    const outcome = await infrastructure.call(call, dutyHolder, () => lease.mayAct, startedAtMs + CALL_TIMEOUT_MS, scope)
    this._logCall(window, outcome, clock.nowMs() - startedAtMs)
    if (!isFinal(outcome)) return this._backOff()
    this._triesCount = 0
    if (await this._commit({ kind: UsageCommandKind.Reported, windowId: window.windowId }, scope)) this._logReported(window, outcome)
  }

  /** Exponential back-off: the usual causes of a failed call last for seconds. */
  private _backOff (): void {
    this._retryAtMs = this._options.clock.nowMs() + Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** this._triesCount)
    this._triesCount++
  }

  private _logCall ({ windowId }: UsageWindow, outcome: DutyOutcome, tookMs: number): void {
    const { logger, metrics, lease } = this._options
    metrics.count(MetricName.DutyCalled, { duty: DutyKind.ReportUsage, outcome: outcome.kind })
    const reason = 'reason' in outcome ? outcome.reason : undefined
    logger.event(DutyEvent.CallEnded, { duty: DutyKind.ReportUsage, windowId, fencingNumber: lease.fencingNumber, mayAct: lease.mayAct, outcome: outcome.kind, reason, tookMs: Math.round(tookMs) })
  }

  private _logReported ({ windowId }: UsageWindow, { kind }: DutyOutcome): void {
    const { logger, wallMs, windowMs, lateMs } = this._options
    const ageMs = Math.round(wallMs() - windowEndsAtMs(windowId, windowMs))
    logger.event(DutyEvent.WindowReported, { windowId, outcome: kind, ageMs, isLate: ageMs > lateMs })
  }

  private async _commit (command: UsageCommand, scope: Scope): Promise<boolean> {
    const { clock, commit } = this._options
    return await commit(command, new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS))
  }
}

/** Whether sending the same call again would change nothing. */
function isFinal (outcome: DutyOutcome): boolean {
  switch (outcome.kind) {
    case 'done':
    case 'conflict':
      return true
    case 'refused':
      return outcome.status < 500
    case 'tooMany':
    case 'staleFence':
    case 'notSent':
    case 'unknown':
      return false
  }
}
