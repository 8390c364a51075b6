/**
 * The control hosts: commit rate, cost of a fleet of entry hosts, time until a
 * change is in force, failover, snapshots and restarts.
 */
import type { BenchOptions, BenchResult } from './benchResult.js'
import { measureCommits } from './control/commits.js'
import { measureFleet } from './control/fleet.js'
import { measureRestart } from './control/restart.js'

export async function run (options: BenchOptions): Promise<BenchResult[]> {
  const report = (line: string): void => options.report(line)
  return [
    ...await measureRestart(options.quick, report),
    ...await measureCommits(options.quick, report),
    ...await measureFleet(options.quick, report)
  ]
}
