/**
 * The state of each job's trainer as last known to this host. This state may be
 * stale; the ledger decides by its own state.
 */
import type { RolloutJobSpec } from '../../protocol/resources.js'
import type { JobStatus } from '../../protocol/rolloutCommands.js'

export class JobOutlooks {
  private readonly _listeners: Array<() => void> = []
  private readonly _byJob = new Map<string, JobStatus>()

  /** Calls back when a newer version was published for a job. */
  onChange (listener: () => void): void {
    this._listeners.push(listener)
  }

  update (statuses: JobStatus[]): void {
    const hasNewer = statuses.some(({ job, publishedVersion }) => publishedVersion > (this._byJob.get(job)?.publishedVersion ?? 0))
    for (const status of statuses) this._byJob.set(status.job, status)
    if (hasNewer) for (const listener of this._listeners) listener()
  }

  get (job: string): JobStatus | undefined {
    return this._byJob.get(job)
  }

  all (): JobStatus[] {
    return [...this._byJob.values()]
  }

  /** Samples with tokens of older weight versions can no longer be delivered. */
  oldestDeliverableVersion (job: string, spec: RolloutJobSpec): number {
    return (this._byJob.get(job)?.trainerVersion ?? 0) - spec.stalenessBoundVersions
  }
}
