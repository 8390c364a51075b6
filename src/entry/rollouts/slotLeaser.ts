/**
 * Leases slots from the ledger. One command at a time renews the lease of the
 * host, lists the attempts running on the host, and requests only as many slots as the
 * engines can start, so that the ledger decides the order of starts.
 */
import { RolloutCommandKind, type HeldSample, type JobStatus, type LeasedSlot, type RolloutResultOf, type SlotRequest } from '../../protocol/rolloutCommands.js'
import { ResourceKind, type RolloutJobSpec } from '../../protocol/resources.js'
import { sleepUntil } from '../../utils/clock.js'
import { MetricName } from '../../utils/metricNames.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { RolloutEvent } from './rolloutEvents.js'
import { SlotWorker, type WorkerOptions } from './slotWorker.js'
import { WakeSignal } from './wakeSignal.js'

const RENEW_INTERVAL_MS = 5_000
const LEASE_COMMAND_TIMEOUT_MS = 4_000
const SWEEP_INTERVAL_MS = 5_000
/** Wake-ups within this time are coalesced into one command. */
const COALESCE_DELAY_MS = 10
/** Slots are leased beyond the engines' capacity, so that engines don't wait for a commit of the log between two samples. */
const CAPACITY_SLACK_FACTOR = 1.1

interface RunningSlot {
  slot: LeasedSlot
  scope: Scope
}

export class SlotLeaser {
  private readonly _options: WorkerOptions
  private readonly _running = new Map<string, RunningSlot>()
  private readonly _signal = new WakeSignal()
  private _sequence = 0
  private _nextSweepAtMs = 0

  constructor (options: WorkerOptions) {
    this._options = options
  }

  get runningCount (): number {
    return this._running.size
  }

  /** Must be called when slots may be waiting or engine capacity was freed. */
  wake (): void {
    this._signal.wake()
  }

  async run (scope: Scope, supervisor: Supervisor): Promise<void> {
    const { clock } = this._options.context
    for (;;) {
      await this._lease(scope, supervisor)
      await this._signal.wait(clock, scope, clock.nowMs() + RENEW_INTERVAL_MS)
      await sleepUntil(clock, scope, clock.nowMs() + COALESCE_DELAY_MS)
    }
  }

  private async _lease (scope: Scope, supervisor: Supervisor): Promise<void> {
    const { ledger, outlooks, context } = this._options
    const progress = new Progress(context.clock, scope, context.clock.nowMs() + LEASE_COMMAND_TIMEOUT_MS)
    const wantsHeld = this._nextSweepAtMs <= context.clock.nowMs()
    const result = await ledger.submit({
      kind: RolloutCommandKind.LeaseSlots,
      hostId: context.hostId,
      hostIncarnation: context.hostIncarnation,
      sequence: ++this._sequence,
      runningAttemptIds: [...this._running.keys()],
      wantsHeld,
      wanted: this._wanted()
    }, progress)
    if (result?.kind !== 'leased') return context.logger.event(RolloutEvent.LeaseNotRenewed, { outcome: result?.kind ?? 'unknown' })
    outlooks.update(result.jobs)
    this._revoke(result)
    for (const slot of result.slots) this._start(slot, supervisor)
    if (this._canLeaseMore()) this.wake()
    if (result.held) this._maintainHeldSamples(result.held, supervisor)
  }

  /** Removes contents that are no longer needed, and replicates again the contents that have lost a replica. */
  private _maintainHeldSamples (held: HeldSample[], supervisor: Supervisor): void {
    const { context: { clock }, replication, store } = this._options
    this._nextSweepAtMs = clock.nowMs() + SWEEP_INTERVAL_MS
    store.sweep(held)
    supervisor.spawn('repair', async scope => {
      await replication.repair(held, new Progress(clock, scope, clock.nowMs() + SWEEP_INTERVAL_MS))
    })
  }

  private _revoke ({ revokedAttemptIds }: RolloutResultOf<'leased'>): void {
    for (const attemptId of revokedAttemptIds) this._running.get(attemptId)?.scope.close('the attempt was revoked by the ledger')
  }

  private _start (slot: LeasedSlot, supervisor: Supervisor): void {
    const spec = this._specOf(slot.job)
    if (!spec) return
    if (slot.earlierAttemptsCount > 0) this._options.context.metrics.count(MetricName.SampleRerun, { reason: 'earlierAttemptLost' })
    const scope = supervisor.spawn(`slot ${slot.attemptId}`, async scope => {
      await new SlotWorker(this._options, slot, spec).run(scope)
    })
    this._running.set(slot.attemptId, { slot, scope })
    scope.onClose(() => {
      this._running.delete(slot.attemptId)
      this.wake()
    })
  }

  private _specOf (job: string): RolloutJobSpec | undefined {
    return this._options.context.control.configuration.get(ResourceKind.RolloutJob, job)?.spec
  }

  /** The slots that this host has capacity for, by job. */
  private _wanted (): SlotRequest[] {
    const { configuration } = this._options.context.control
    if (!this._options.context.control.holdsLease()) return []
    return configuration.list(ResourceKind.RolloutJob)
      .filter(({ spec }) => !spec.paused)
      .map(({ name, spec }) => this._wantedOf(name, spec))
  }

  private _wantedOf (job: string, spec: RolloutJobSpec): SlotRequest {
    const capacityCount = this._hostCapacityCount(spec.pool)
    const running = [...this._running.values()].filter(({ slot }) => this._specOf(slot.job)?.pool === spec.pool)
    const ownCount = running.filter(({ slot }) => slot.job === job).length
    const freeCount = Math.max(0, capacityCount - running.length)
    const isStepDrained = this._outlooksOf(spec.pool).every(status => status.waitingCount === 0)
    return {
      job,
      maxSlotsCount: Math.max(0, capacityCount - ownCount),
      // Slots of later steps get only the capacity that no current step of any job needs.
      maxAheadCount: isStepDrained ? freeCount : 0
    }
  }

  /** Whether slots of later steps are waiting that the last command could not request yet. */
  private _canLeaseMore (): boolean {
    return this._wanted().some(({ job, maxAheadCount }) => {
      return maxAheadCount > 0 && (this._options.outlooks.get(job)?.waitingAheadCount ?? 0) > 0
    })
  }

  private _outlooksOf (pool: string): JobStatus[] {
    return this._options.outlooks.all().filter(({ job }) => this._specOf(job)?.pool === pool)
  }

  /** This host's share of the concurrent requests that the engines of a pool can run. */
  private _hostCapacityCount (pool: string): number {
    const { control, directory } = this._options.context
    const maxConcurrentCount = control.configuration.get(ResourceKind.EndpointPool, pool)?.spec.maxConcurrentCount ?? Number.POSITIVE_INFINITY
    const capacity = directory.available(pool).reduce((sum, { announcement }) => sum + Math.min(announcement.maxConcurrentCount, maxConcurrentCount), 0)
    const hostsCount = Math.max(1, control.configuration.entryHosts().length)
    return Math.ceil(capacity * CAPACITY_SLACK_FACTOR / hostsCount)
  }
}
