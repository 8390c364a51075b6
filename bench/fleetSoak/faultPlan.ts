/**
 * Draws the faults of one fleet soak run, and their times, from a seed. At most
 * one control host and one store host are faulty at a time, which is what the
 * deployment has to tolerate; faults of entry hosts, endpoint faults, changes of
 * settings and planned operations overlap with them freely.
 */
import { seededRandom, type RandomSource } from '../../src/utils/randomSource.js'

export enum FaultKind {
  Kill = 'kill',
  /** A graceful stop, followed by a restart. */
  Stop = 'stop',
  Freeze = 'freeze',
  Isolate = 'cut',
  IsolateOneWay = 'cutOneWay',
  Reset = 'reset',
  /** A control host is isolated, and an endpoint that announces itself to it deregisters. */
  DeregisterAtIsolatedHost = 'leaveAtCutHost',
  /** Open connections carry nothing any more; new ones work. */
  Silence = 'silence',
  /** A store host loses its disk. */
  Wipe = 'wipe',
  /** All programs are killed at once and restarted. */
  PowerLoss = 'powerLoss',
  EndpointDrains = 'endpointDrains',
  EndpointDeregisters = 'endpointLeaves',
  EndpointCrashes = 'endpointCrashes',
  /** A caller repeats a request that crashes every endpoint that runs it. */
  PoisonCaller = 'deadlyCaller',
  /** The machine of a host is suspended, and its monotonic clock with it. */
  Suspend = 'suspend',
  Configure = 'configure',
  /** Callers send many times the usual requests. */
  Burst = 'burst',
  /** Callers ask for large answers and read nothing of them for a while. */
  SlowReaders = 'slowReaders',
  /** Every second endpoint breaks off, leaves without a length or repeats some of its answers. */
  GarbledAnswers = 'garbledAnswers',
  /** Every second endpoint sends some answers without end. */
  EndlessAnswers = 'endlessAnswers',
  /** Clients that do not behave come to a host, and stay until its processes are gone. */
  ClientCrowd = 'clientCrowd',
  /** Settings files are rewritten while programs run, with any number of SIGHUPs. */
  Settings = 'settings',
  /** Every start for a while meets a SIGHUP, and settings that are cut short at first. */
  SettingsAtStart = 'settingsAtStart',
  /** A host starts while another program holds one of its ports. */
  HeldPort = 'heldPort',
  /** A host is asked to stop twice, beside a SIGHUP, or while it starts. */
  SignalSeries = 'signalSeries',
  /** The hosts start one by one at first. */
  StaggeredStart = 'staggeredStart'
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
  /** Group of the affected host; has no meaning for endpoint faults and operations. */
  group: HostGroup
  /** Index in the group, or among the endpoints. */
  number: number
}

export interface HostCounts {
  [HostGroup.Control]: number
  [HostGroup.Entry]: number
  [HostGroup.Store]: number
}

/** No faults at the start, nor at the end until everything has settled. */
export const QUIET_BEFORE_MS = 2_000
export const QUIET_AFTER_MS = 8_000
const MIN_GAP_MS = 300
const MAX_GAP_MS = 1_800
const MIN_FAULT_MS = 400
const MAX_FAULT_MS = 3_000
/** Longer than the drain time after a confirmed deregistration, so that hosts which missed it are detected. */
const DEREGISTER_ISOLATION_MS = 4_500
/** Longer than the time within which all hosts must know of the third crash. */
const POISON_CALLER_MS = 7_000
/** Minimum gap between faults of one group: time for an election or for refilling a disk. */
const RECOVERY_MS = 4_000

const HOST_FAULTS = [FaultKind.Kill, FaultKind.Stop, FaultKind.Freeze, FaultKind.Suspend, FaultKind.Isolate, FaultKind.IsolateOneWay, FaultKind.Reset, FaultKind.Silence]
const OTHER_FAULTS = [FaultKind.EndpointDrains, FaultKind.EndpointDeregisters, FaultKind.EndpointDeregisters, FaultKind.EndpointCrashes, FaultKind.Configure, FaultKind.Configure]

/** Faults of starts, settings and signals. */
export const START_FAULTS = [FaultKind.Settings, FaultKind.SettingsAtStart, FaultKind.HeldPort, FaultKind.SignalSeries, FaultKind.StaggeredStart]
const DRAWN_START_FAULTS = [FaultKind.Settings, FaultKind.Settings, FaultKind.SettingsAtStart, FaultKind.SettingsAtStart, FaultKind.HeldPort, FaultKind.HeldPort, FaultKind.SignalSeries, FaultKind.SignalSeries]

const LOAD_FAULTS = [FaultKind.Burst, FaultKind.SlowReaders]
const LOAD_SEED_OFFSET = 1_000_003
const MIN_LOAD_GAP_MS = 2_000
const MAX_LOAD_GAP_MS = 8_000
const GARBLED_SEED_OFFSET = 2_000_003
const ENDLESS_SEED_OFFSET = 3_000_017
const CROWD_SEED_OFFSET = 4_000_037
const START_SEED_OFFSET = 5_000_011
const MAX_STAGGER_MS = 8_000
/** Programs listen by then, on a busy machine too. */
const MIN_HELD_PORT_MS = 2_000
const MIN_GARBLED_GAP_MS = 3_000
const MAX_GARBLED_GAP_MS = 9_000

export interface PlanOptions {
  seed: number
  durationMs: number
  hosts: HostCounts
  /** Restricts the plan to these kinds; all kinds by default. */
  only?: readonly FaultKind[]
}

export function planFaults ({ seed, durationMs, hosts, only }: PlanOptions): PlannedFault[] {
  const random = seededRandom(seed)
  const nextFaultAtMs = new Map<HostGroup, number>()
  const planned: PlannedFault[] = []
  const endMs = durationMs - QUIET_AFTER_MS
  for (let atMs = QUIET_BEFORE_MS; atMs < endMs; atMs += random.int(MIN_GAP_MS, MAX_GAP_MS)) {
    const fault = drawFault(random, hosts, atMs, endMs)
    const isBusy = fault.kind !== FaultKind.PowerLoss && isHostFault(fault.kind) && atMs < (nextFaultAtMs.get(fault.group) ?? 0)
    const isExcluded = only !== undefined && !only.includes(fault.kind)
    if (isBusy || isExcluded) continue
    planned.push(fault)
    if (isHostFault(fault.kind)) nextFaultAtMs.set(fault.group, atMs + fault.forMs + RECOVERY_MS)
    if (fault.kind === FaultKind.PowerLoss) for (const group of Object.values(HostGroup)) nextFaultAtMs.set(group, atMs + fault.forMs + 2 * RECOVERY_MS)
  }
  const beside = [...planLoad(seed, endMs), ...planMisbehaviour(FaultKind.GarbledAnswers, seed + GARBLED_SEED_OFFSET, endMs), ...planMisbehaviour(FaultKind.EndlessAnswers, seed + ENDLESS_SEED_OFFSET, endMs), ...planMisbehaviour(FaultKind.ClientCrowd, seed + CROWD_SEED_OFFSET, endMs)].filter(({ kind }) => only === undefined || only.includes(kind))
  const starts = planStartFaults({ seed, hosts, only, endMs }, planned)
  return [...planned, ...beside, ...starts].sort((left, right) => left.atMs - right.atMs)
}

/** Faults of starts, settings and signals; drawn by themselves, as load is, and only where no other fault has hit the group. */
function planStartFaults ({ seed, hosts, only, endMs }: Omit<PlanOptions, 'durationMs'> & { endMs: number }, others: readonly PlannedFault[]): PlannedFault[] {
  const random = seededRandom(seed + START_SEED_OFFSET)
  // The first start comes before the plan: only its length has a meaning.
  const stagger = { kind: FaultKind.StaggeredStart, atMs: QUIET_BEFORE_MS, forMs: random.int(0, MAX_STAGGER_MS), group: HostGroup.Entry, number: 0 }
  const isIncluded = ({ kind }: PlannedFault): boolean => only === undefined || only.includes(kind)
  const planned = [stagger].filter(isIncluded)
  for (let atMs = QUIET_BEFORE_MS + random.int(0, MAX_GAP_MS); atMs < endMs; atMs += random.int(MIN_GAP_MS, MAX_GAP_MS)) {
    const group = Object.values(HostGroup)[random.int(0, 2)] ?? HostGroup.Entry
    const kind = DRAWN_START_FAULTS[random.int(0, DRAWN_START_FAULTS.length - 1)] ?? FaultKind.Settings
    const minMs = kind === FaultKind.HeldPort ? MIN_HELD_PORT_MS : 0
    const fault = { kind, atMs, forMs: Math.min(minMs + random.int(MIN_FAULT_MS, MAX_FAULT_MS), endMs - atMs), group, number: random.int(0, Math.max(0, hosts[group] - 1)) }
    if (isIncluded(fault) && ![...others, ...planned].some(other => clash(fault, other))) planned.push(fault)
  }
  return planned
}

/** Whether two faults may not overlap, as both take hosts of one group down. */
function clash (fault: PlannedFault, other: PlannedFault): boolean {
  const hitsGroup = isHostFault(fault.kind) && isHostFault(other.kind) && (other.group === fault.group || other.kind === FaultKind.PowerLoss)
  return hitsGroup && fault.atMs < other.atMs + other.forMs + RECOVERY_MS && other.atMs < fault.atMs + fault.forMs + RECOVERY_MS
}

/** Load beyond the usual; drawn by itself, so that a seed keeps its faults whatever load is added. */
function planLoad (seed: number, endMs: number): PlannedFault[] {
  const random = seededRandom(seed + LOAD_SEED_OFFSET)
  const planned: PlannedFault[] = []
  for (let atMs = QUIET_BEFORE_MS + random.int(0, MAX_LOAD_GAP_MS); atMs < endMs; atMs += random.int(MIN_LOAD_GAP_MS, MAX_LOAD_GAP_MS)) {
    const kind = LOAD_FAULTS[random.int(0, LOAD_FAULTS.length - 1)] ?? FaultKind.Burst
    planned.push({ kind, atMs, forMs: Math.min(random.int(MIN_FAULT_MS, MAX_FAULT_MS), endMs - atMs), group: HostGroup.Entry, number: 0 })
  }
  return planned
}

/** Bad answers and bad clients; drawn by themselves, as load is. */
function planMisbehaviour (kind: FaultKind, seed: number, endMs: number): PlannedFault[] {
  const random = seededRandom(seed)
  const planned: PlannedFault[] = []
  for (let atMs = QUIET_BEFORE_MS + random.int(0, MIN_GARBLED_GAP_MS); atMs < endMs; atMs += random.int(MIN_GARBLED_GAP_MS, MAX_GARBLED_GAP_MS)) {
    const forMs = Math.min(random.int(MIN_FAULT_MS, 2 * MAX_FAULT_MS), endMs - atMs)
    planned.push({ kind, atMs, forMs, group: HostGroup.Entry, number: random.int(0, 1) })
  }
  return planned
}

export function isHostFault (kind: FaultKind): boolean {
  return HOST_FAULTS.includes(kind) || [FaultKind.Wipe, FaultKind.PowerLoss, FaultKind.DeregisterAtIsolatedHost, FaultKind.HeldPort, FaultKind.SignalSeries].includes(kind)
}

function drawFault (random: RandomSource, hosts: HostCounts, atMs: number, endMs: number): PlannedFault {
  const forMs = Math.min(random.int(MIN_FAULT_MS, MAX_FAULT_MS), endMs - atMs)
  const group = Object.values(HostGroup)[random.int(0, 2)] ?? HostGroup.Entry
  const number = random.int(0, hosts[group] - 1)
  const percentile = random.int(0, 99)
  if (percentile < 2) return { kind: FaultKind.PowerLoss, atMs, forMs, group, number }
  if (percentile < 6) return { kind: FaultKind.Wipe, atMs, forMs, group: HostGroup.Store, number: random.int(0, hosts.store - 1) }
  const fitsDeregistration = endMs - atMs >= DEREGISTER_ISOLATION_MS
  if (percentile < 12 && fitsDeregistration) return { kind: FaultKind.DeregisterAtIsolatedHost, atMs, forMs: DEREGISTER_ISOLATION_MS, group: HostGroup.Control, number: random.int(0, hosts.control - 1) }
  const fitsPoisonCaller = endMs - atMs >= POISON_CALLER_MS
  if (percentile < 20 && fitsPoisonCaller) return { kind: FaultKind.PoisonCaller, atMs, forMs: POISON_CALLER_MS, group, number }
  const kinds = percentile < 55 ? HOST_FAULTS : OTHER_FAULTS
  return { kind: kinds[random.int(0, kinds.length - 1)] ?? FaultKind.Kill, atMs, forMs, group, number }
}
