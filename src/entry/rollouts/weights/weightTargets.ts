/**
 * The weights that every engine of a pool should have: the newest published
 * version of the base weights and of each adapter that jobs use, as absolute
 * version numbers.
 */
import { versionServed } from '../../../protocol/endpoints.js'
import type { JobStatus } from '../../../protocol/rolloutCommands.js'
import type { ResourceOf, ResourceKind } from '../../../protocol/resources.js'
import type { EndpointRecord } from '../../directory/endpointRecord.js'

/** The base weights of the pool, or one adapter. */
export interface WeightTarget {
  adapter?: string
  weightVersion: number
}

export function targetsOf (pool: string, jobs: Array<ResourceOf<ResourceKind.RolloutJob>>, statusOf: (job: string) => JobStatus | undefined): WeightTarget[] {
  const newest = new Map<string | undefined, number>()
  for (const { name, spec } of jobs) {
    const published = statusOf(name)?.publishedVersion ?? 0
    if (spec.pool !== pool || published === 0) continue
    newest.set(spec.adapter, Math.max(newest.get(spec.adapter) ?? 0, published))
  }
  return [...newest].map(([adapter, weightVersion]) => ({ adapter, weightVersion }))
}

/** The next target that an engine doesn't serve yet. */
export function nextTarget (record: EndpointRecord, targets: WeightTarget[], knownVersion: (adapter?: string) => number | undefined): WeightTarget | undefined {
  return targets.find(({ adapter, weightVersion }) => {
    const announced = versionServed(record.announcement, adapter)
    const served = Math.max(announced ?? -1, knownVersion(adapter) ?? -1)
    return served < weightVersion
  })
}
