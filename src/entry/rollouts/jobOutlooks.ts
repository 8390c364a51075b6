/**
 * What this host last learned of every job's trainer. It may lag; the ledger
 * decides by its own state.
 */
import type { RolloutJobSpec } from '../../protocol/resources.js'
import type { JobOutlook } from '../../protocol/rolloutCommands.js'

export class JobOutlooks {
  private readonly _listeners: Array<() => void> = []
  private readonly _byJob = new Map<string, JobOutlook>()

  /** Calls back when a job has a newer published version. */
  onChange (listener: () => void): void {
    this._listeners.push(listener)
  }

  note (outlooks: JobOutlook[]): void {
    const hasNewer = outlooks.some(({ job, publishedVersion }) => publishedVersion > (this._byJob.get(job)?.publishedVersion ?? 0))
    for (const outlook of outlooks) this._byJob.set(outlook.job, outlook)
    if (hasNewer) for (const listener of this._listeners) listener()
  }

  get (job: string): JobOutlook | undefined {
    return this._byJob.get(job)
  }

  all (): JobOutlook[] {
    return [...this._byJob.values()]
  }

  /** Samples with older weights than this can no longer be delivered. */
  oldestDeliverableVersion (job: string, spec: RolloutJobSpec): number {
    return (this._byJob.get(job)?.trainerVersion ?? 0) - spec.stalenessBoundVersions
  }
}
