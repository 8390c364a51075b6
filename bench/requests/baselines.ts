/**
 * Baselines for the policy. They have no queue: an endpoint is chosen at once,
 * and requests wait at the engines, which serve them by priority. At most two
 * retries, within the caller's deadline.
 */
import type { EndpointDirectory, EndpointRecord } from '../../src/entry/directory/endpointRecord.js'
import type { AssignOutcome, Scheduler, WorkItem } from '../../src/entry/scheduling/scheduler.js'
import { RefusalReason } from '../../src/protocol/refusals.js'
import type { RandomSource } from '../../src/utils/randomSource.js'

export enum Baseline {
  RoundRobin = 'roundRobin',
  LeastReported = 'leastReported',
  Random = 'random'
}

const MAX_ATTEMPTS = 3

class PlainScheduler implements Scheduler {
  private readonly _directory: EndpointDirectory
  private readonly _choose: (records: EndpointRecord[]) => EndpointRecord | undefined

  constructor (directory: EndpointDirectory, choose: (records: EndpointRecord[]) => EndpointRecord | undefined) {
    this._directory = directory
    this._choose = choose
  }

  async assign (item: WorkItem): Promise<AssignOutcome> {
    const records = this._directory.available(item.pool)
    const untried = records.filter(({ announcement }) => !item.excludedEndpointIds.includes(announcement.endpointId))
    const endpoint = item.excludedEndpointIds.length < MAX_ATTEMPTS ? this._choose(untried) : undefined
    if (!endpoint) return { kind: 'refused', reason: RefusalReason.NoEndpoint, message: 'no untried endpoint left' }
    return { kind: 'assigned', assignment: { endpoint, finish: () => {} } }
  }

  takeRetry (): boolean {
    return true
  }
}

export function createBaseline (baseline: Baseline, directory: EndpointDirectory, random: RandomSource): Scheduler {
  let turn = random.int(0, 1000)
  switch (baseline) {
    case Baseline.RoundRobin:
      return new PlainScheduler(directory, records => records[turn++ % Math.max(1, records.length)])
    case Baseline.LeastReported:
      return new PlainScheduler(directory, records => leastLoaded(records))
    case Baseline.Random:
      return new PlainScheduler(directory, records => records[random.int(0, Math.max(0, records.length - 1))])
  }
}

function leastLoaded (records: EndpointRecord[]): EndpointRecord | undefined {
  const loadOf = ({ announcement: { load } }: EndpointRecord): number => load.runningCount + load.waitingCount
  return records.reduce<EndpointRecord | undefined>((a, b) => a && loadOf(a) <= loadOf(b) ? a : b, undefined)
}
