/**
 * Injects faults: sends signals to processes at the times set by the
 * experiment. Only processes whose ids were given with `--process` are signalled.
 */
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { Fault } from './experiment.js'
import type { Report } from './report.js'

export type FaultReport = Report['faults'][number]

/** Sends a signal to a process id; throws if the signal cannot be delivered. */
export type SendSignal = (pid: number, signal: string) => void

/** Names of processes that faults refer to but `pids` does not contain. */
export function missingProcesses (faults: readonly Fault[], pids: ReadonlyMap<string, number>): string[] {
  return [...new Set(faults.map(({ process }) => process))].filter(name => !pids.has(name))
}

export async function injectFaults (
  faults: readonly Fault[],
  pids: ReadonlyMap<string, number>,
  send: SendSignal,
  clock: Clock,
  scope: Scope
): Promise<FaultReport[]> {
  const startAtMs = clock.nowMs()
  const reports: FaultReport[] = []
  for (const fault of [...faults].sort((a, b) => a.atMs - b.atMs)) {
    await sleepUntil(clock, scope, startAtMs + fault.atMs)
    reports.push({ ...fault, outcome: sendFault(fault, pids, send) })
  }
  return reports
}

function sendFault ({ process, signal }: Fault, pids: ReadonlyMap<string, number>, send: SendSignal): string {
  try {
    send(pids.get(process)!, signal)
    return 'sent'
  } catch (error) {
    return (error as Error).message
  }
}
