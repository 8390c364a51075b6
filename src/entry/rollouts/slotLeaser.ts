/**
 * The task that leases slots: one command at a time renews the lease of the
 * host, names what it runs, and asks for as much as the engines can start, so
 * that the order of starts stays with the ledger.
 */
import { RolloutCommandKind, type HeldSample, type JobOutlook, type LeasedSlot, type RolloutResultOf, type WantedSlots } from '../../protocol/rolloutCommands.js'
import { ResourceKind, type RolloutJobSpec } from '../../protocol/resources.js'
import { sleepUntil } from '../../utils/clock.js'
import { MetricName } from '../../utils/metricNames.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { RolloutEvent } from './rolloutEvents.js'
import { SlotWorker, type WorkerParts } from './slotWorker.js'
import { WakeSignal } from './wakeSignal.js'

const RENEW_INTERVAL_MS = 5_000
const LEASE_TIMEOUT_MS = 4_000
const SWEEP_INTERVAL_MS = 5_000
/** Events within this time share one command. */
const LINGER_MS = 10
/** Room beyond the engines' own, so that they do not wait for the log between two samples. */
const CAPACITY_SLACK = 1.1

interface RunningSlot {
  slot: LeasedSlot
  scope: Scope
}

export class SlotLeaser {
  private readonly _with: WorkerParts
  private readonly _running = new Map<string, RunningSlot>()
  private readonly _signal = new WakeSignal()
  private _sequence = 0
  private _nextSweepAtMs = 0

  constructor (workerParts: WorkerParts) {
    this._with = workerParts
  }

  get runningCount (): number {
    return this._running.size
  }

  /** Slots may be waiting, or room has come free. */
  wake (): void {
    this._signal.wake()
  }

  async run (scope: Scope, supervisor: Supervisor): Promise<void> {
    const { clock } = this._with.parts
    for (;;) {
      await this._lease(scope, supervisor)
      await this._signal.wait(clock, scope, clock.nowMs() + RENEW_INTERVAL_MS)
      await sleepUntil(clock, scope, clock.nowMs() + LINGER_MS)
    }
  }

  private async _lease (scope: Scope, supervisor: Supervisor): Promise<void> {
    const { ledger, outlooks, parts } = this._with
    const progress = new Progress(parts.clock, scope, parts.clock.nowMs() + LEASE_TIMEOUT_MS)
    const wantsHeld = this._nextSweepAtMs <= parts.clock.nowMs()
    const result = await ledger.submit({
      kind: RolloutCommandKind.LeaseSlots,
      hostId: parts.hostId,
      hostIncarnation: parts.hostIncarnation,
      sequence: ++this._sequence,
      runningAttemptIds: [...this._running.keys()],
      wantsHeld,
      wanted: this._wanted()
    }, progress)
    if (result?.kind !== 'leased') return parts.logger.event(RolloutEvent.LeaseNotRenewed, { outcome: result?.kind ?? 'unknown' })
    outlooks.note(result.jobs)
    this._revoke(result)
    for (const slot of result.slots) this._start(slot, supervisor)
    if (this._hasRoomForMore()) this.wake()
    if (result.held) this._tend(result.held, supervisor)
  }

  /** Drops contents that nobody needs any more, and copies those that have lost a holder. */
  private _tend (held: HeldSample[], supervisor: Supervisor): void {
    const { parts: { clock }, replication, store } = this._with
    this._nextSweepAtMs = clock.nowMs() + SWEEP_INTERVAL_MS
    store.sweep(held)
    supervisor.spawn('repair', async scope => {
      await replication.repair(held, new Progress(clock, scope, clock.nowMs() + SWEEP_INTERVAL_MS))
    })
  }

  private _revoke ({ revokedAttemptIds }: RolloutResultOf<'leased'>): void {
    for (const attemptId of revokedAttemptIds) this._running.get(attemptId)?.scope.close('the slot has another attempt')
  }

  private _start (slot: LeasedSlot, supervisor: Supervisor): void {
    const spec = this._specOf(slot.job)
    if (!spec) return
    if (slot.earlierAttemptsCount > 0) this._with.parts.metrics.count(MetricName.SampleRerun, { reason: 'earlierAttemptLost' })
    const scope = supervisor.spawn(`slot ${slot.attemptId}`, async scope => {
      await new SlotWorker(this._with, slot, spec).run(scope)
    })
    this._running.set(slot.attemptId, { slot, scope })
    scope.onClose(() => {
      this._running.delete(slot.attemptId)
      this.wake()
    })
  }

  private _specOf (job: string): RolloutJobSpec | undefined {
    return this._with.parts.control.configuration.get(ResourceKind.RolloutJob, job)?.spec
  }

  /** What this host has room for, job by job. */
  private _wanted (): WantedSlots[] {
    const { configuration } = this._with.parts.control
    if (!this._with.parts.control.holdsLease()) return []
    return configuration.list(ResourceKind.RolloutJob)
      .filter(({ spec }) => !spec.paused)
      .map(({ name, spec }) => this._wantedOf(name, spec))
  }

  private _wantedOf (job: string, spec: RolloutJobSpec): WantedSlots {
    const roomCount = this._roomCount(spec.pool)
    const running = [...this._running.values()].filter(({ slot }) => this._specOf(slot.job)?.pool === spec.pool)
    const ownCount = running.filter(({ slot }) => slot.job === job).length
    const freeCount = Math.max(0, roomCount - running.length)
    const isStepDrained = this._outlooksOf(spec.pool).every(outlook => outlook.waitingCount === 0)
    return {
      job,
      maxSlotsCount: Math.max(0, roomCount - ownCount),
      // Later steps take only the room that no current step of any job wants.
      maxAheadCount: isStepDrained ? freeCount : 0
    }
  }

  /** Something waits for which the last command could not ask yet. */
  private _hasRoomForMore (): boolean {
    return this._wanted().some(({ job, maxAheadCount }) => {
      return maxAheadCount > 0 && (this._with.outlooks.get(job)?.waitingAheadCount ?? 0) > 0
    })
  }

  private _outlooksOf (pool: string): JobOutlook[] {
    return this._with.outlooks.all().filter(({ job }) => this._specOf(job)?.pool === pool)
  }

  /** This host's part of what the engines of a pool run at once. */
  private _roomCount (pool: string): number {
    const { control, directory } = this._with.parts
    const maxConcurrentCount = control.configuration.get(ResourceKind.EndpointPool, pool)?.spec.maxConcurrentCount ?? Number.POSITIVE_INFINITY
    const capacity = directory.available(pool).reduce((sum, { announcement }) => sum + Math.min(announcement.maxConcurrentCount, maxConcurrentCount), 0)
    const hostsCount = Math.max(1, control.configuration.entryHosts().length)
    return Math.ceil(capacity * CAPACITY_SLACK / hostsCount)
  }
}
