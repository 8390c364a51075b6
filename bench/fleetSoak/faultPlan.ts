/**
 * Which faults a run of the fleet's soak has, and when: all drawn from one
 * seed. Of control hosts and of store hosts one at a time is disturbed, as many
 * as the deployment is to bear; entry hosts, endpoints and planned work overlap
 * with that as they come.
 */
import { seededRandom, type RandomSource } from '../../src/utils/randomSource.js'

export enum FaultKind {
  Kill = 'kill',
  /** A planned stop, and a start. */
  Stop = 'stop',
  Freeze = 'freeze',
  Cut = 'cut',
  CutOneWay = 'cutOneWay',
  Reset = 'reset',
  /** A control host is cut off, and an endpoint that keeps to it takes its leave. */
  LeaveAtCutHost = 'leaveAtCutHost',
  /** Open connections fall silent for good, new ones work. */
  Silence = 'silence',
  /** A store host loses its disk. */
  Wipe = 'wipe',
  /** Every program is killed at the same moment and started again. */
  PowerLoss = 'powerLoss',
  EndpointDrains = 'endpointDrains',
  EndpointLeaves = 'endpointLeaves',
  EndpointCrashes = 'endpointCrashes',
  /** A caller repeats a request that ends every endpoint which runs it. */
  DeadlyCaller = 'deadlyCaller',
  /** The machine of a host stands still, with its steady clock. */
  Suspend = 'suspend',
  Configure = 'configure'
}

export enum HostGroup {
  Control = 'control',
  Entry = 'entry',
  Store = 'store'
}

export interface PlannedFault {
  kind: FaultKind
  atMs: number
  forMs: number
  /** Of hosts; endpoints and operators are not of one. */
  group: HostGroup
  /** Which of the group, or of the endpoints. */
  number: number
}

export interface HostCounts {
  [HostGroup.Control]: number
  [HostGroup.Entry]: number
  [HostGroup.Store]: number
}

/** Quiet at the start, and at the end until everything has settled. */
export const QUIET_BEFORE_MS = 2_000
export const QUIET_AFTER_MS = 8_000
const MIN_GAP_MS = 300
const MAX_GAP_MS = 1_800
const MIN_FAULT_MS = 400
const MAX_FAULT_MS = 3_000
/** Longer than the time that is promised after a confirmed leave: hosts that were not told show it. */
const LEAVE_CUT_MS = 4_500
/** Past the time within which all hosts must know of the third end. */
const DEADLY_MS = 7_000
/** From the end of one fault of a group to the next: an election, a disk that is filled again. */
const RECOVERY_MS = 4_000

const HOST_FAULTS = [FaultKind.Kill, FaultKind.Stop, FaultKind.Freeze, FaultKind.Suspend, FaultKind.Cut, FaultKind.CutOneWay, FaultKind.Reset, FaultKind.Silence]
const OTHER_FAULTS = [FaultKind.EndpointDrains, FaultKind.EndpointLeaves, FaultKind.EndpointLeaves, FaultKind.EndpointCrashes, FaultKind.Configure, FaultKind.Configure]

export interface PlanOptions {
  seed: number
  durationMs: number
  hosts: HostCounts
  /** Only these kinds; all of them when absent. */
  only?: readonly FaultKind[]
}

export function planFaults ({ seed, durationMs, hosts, only }: PlanOptions): PlannedFault[] {
  const random = seededRandom(seed)
  const freeAtMs = new Map<HostGroup, number>()
  const planned: PlannedFault[] = []
  const lastMs = durationMs - QUIET_AFTER_MS
  for (let atMs = QUIET_BEFORE_MS; atMs < lastMs; atMs += random.int(MIN_GAP_MS, MAX_GAP_MS)) {
    const fault = draw(random, hosts, atMs, lastMs)
    const isBusy = fault.kind !== FaultKind.PowerLoss && isOfHost(fault.kind) && atMs < (freeAtMs.get(fault.group) ?? 0)
    const isLeftOut = only !== undefined && !only.includes(fault.kind)
    if (isBusy || isLeftOut) continue
    planned.push(fault)
    if (isOfHost(fault.kind)) freeAtMs.set(fault.group, atMs + fault.forMs + RECOVERY_MS)
    if (fault.kind === FaultKind.PowerLoss) for (const group of Object.values(HostGroup)) freeAtMs.set(group, atMs + fault.forMs + 2 * RECOVERY_MS)
  }
  return planned
}

export function isOfHost (kind: FaultKind): boolean {
  return HOST_FAULTS.includes(kind) || [FaultKind.Wipe, FaultKind.PowerLoss, FaultKind.LeaveAtCutHost].includes(kind)
}

function draw (random: RandomSource, hosts: HostCounts, atMs: number, lastMs: number): PlannedFault {
  const forMs = Math.min(random.int(MIN_FAULT_MS, MAX_FAULT_MS), lastMs - atMs)
  const group = Object.values(HostGroup)[random.int(0, 2)] ?? HostGroup.Entry
  const number = random.int(0, hosts[group] - 1)
  const share = random.int(0, 99)
  if (share < 2) return { kind: FaultKind.PowerLoss, atMs, forMs, group, number }
  if (share < 6) return { kind: FaultKind.Wipe, atMs, forMs, group: HostGroup.Store, number: random.int(0, hosts.store - 1) }
  const mayLeave = lastMs - atMs >= LEAVE_CUT_MS
  if (share < 12 && mayLeave) return { kind: FaultKind.LeaveAtCutHost, atMs, forMs: LEAVE_CUT_MS, group: HostGroup.Control, number: random.int(0, hosts.control - 1) }
  const mayRepeat = lastMs - atMs >= DEADLY_MS
  if (share < 20 && mayRepeat) return { kind: FaultKind.DeadlyCaller, atMs, forMs: DEADLY_MS, group, number }
  const kinds = share < 55 ? HOST_FAULTS : OTHER_FAULTS
  return { kind: kinds[random.int(0, kinds.length - 1)] ?? FaultKind.Kill, atMs, forMs, group, number }
}
