/**
 * Rows of the capacity tables: each is one cost of one role at the target size,
 * calculated from measured slopes, with the mechanism that causes it.
 */
import { assumed, hostsPerDataCentre, SECONDS_PER_DAY, target } from './target.js'
import type { SlopeBook } from './slopeBook.js'

export enum Role {
  EntryControl = 'Entry host: control (leases, watches, directory)',
  EntryWork = 'Entry host: callers, trainers, endpoints',
  ControlLeader = 'Control host that leads',
  ControlFollower = 'Control host that follows',
  PlatformHost = 'Host on the users\' platform: fleet membership',
  PlatformControl = 'Control host on the users\' platform: fleet updates'
}

export interface Cost {
  /** Processor time in percent of one core. */
  corePercent?: number
  kilobytesPerSecond?: number
  megabytes?: number
}

export interface CapacityRow {
  role: Role
  what: string
  cost: Cost
  /** Names of the slopes from which the cost is calculated. */
  slopes: string[]
  mechanism: string
}

const US_PER_CORE_PERCENT = 10_000
const BYTES_PER_KB = 1_000
const BYTES_PER_MB = 1_000_000

function corePercent (usPerSecond: number | undefined): number | undefined {
  return usPerSecond === undefined ? undefined : Math.max(0, usPerSecond) / US_PER_CORE_PERCENT
}

function kilobytes (bytesPerSecond: number | undefined): number | undefined {
  return bytesPerSecond === undefined ? undefined : Math.max(0, bytesPerSecond) / BYTES_PER_KB
}

function multiply (value: number | undefined, factor: number): number | undefined {
  return value === undefined ? undefined : value * factor
}

export function subtract (value: number | undefined, other: number | undefined): number | undefined {
  return value === undefined || other === undefined ? undefined : value - other
}

const changesPerSecond = target.changesPerDay / SECONDS_PER_DAY
const samplesPerSecond = target.trainers * target.samplesPerStep / assumed.stepSeconds
const announcementsPerSecond = target.engines * assumed.announceToHosts / assumed.announceEverySeconds
const slotLeasesPerSecond = target.entryHosts / 5
export const unrepeatablePerSecond = target.requestsPerSecond * assumed.unrepeatablePart
/** Commands per second: slot leases, a lease and a commit per sample, and unrepeatable requests. */
export const commandsPerSecond = slotLeasesPerSecond + 2 * samplesPerSecond + assumed.commandsPerUnrepeatable * unrepeatablePerSecond

/** Host counts of the two setups in which the cost of endpoints was measured; both have the same announcements. */
const FEW_HOSTS = 6
const MANY_HOSTS = 18

/** Cost per endpoint, in microseconds per second, for a host to which the endpoint does not announce itself. */
export function followUs (book: SlopeBook): number | undefined {
  const many = multiply(book.perUnit('directory.endpointProcessorOf18Us'), MANY_HOSTS)
  const few = multiply(book.perUnit('directory.endpointProcessorUs'), FEW_HOSTS)
  return multiply(subtract(many, few), 1 / (MANY_HOSTS - FEW_HOSTS))
}

function entryControlRows (book: SlopeBook): CapacityRow[] {
  const { entryHosts } = target
  const role = Role.EntryControl
  return [
    {
      role,
      what: 'configuration lease, renewed every second',
      cost: { corePercent: corePercent(book.at('control.clientSteadyUs', 0)), kilobytesPerSecond: kilobytes(book.at('control.clientSteadyBytes', entryHosts)) },
      slopes: ['control.clientSteadyUs', 'control.clientSteadyBytes'],
      mechanism: 'one framed call a second to the leader'
    },
    {
      role,
      what: `${target.changesPerDay} changes a day, watched`,
      cost: { kilobytesPerSecond: kilobytes(multiply(book.perUnit('control.changeLeaderBytes'), changesPerSecond)) },
      slopes: ['control.changeLeaderBytes'],
      mechanism: 'the leader pushes each committed change to every host once'
    },
    ...directoryRows(book)
  ]
}

function directoryRows (book: SlopeBook): CapacityRow[] {
  const { entryHosts, engines } = target
  const role = Role.EntryControl
  return [
    {
      role,
      what: `connections and states of ${hostsPerDataCentre} hosts of its data centre`,
      cost: { corePercent: corePercent(book.at('directory.hostProcessorUs', hostsPerDataCentre)), kilobytesPerSecond: kilobytes(book.at('directory.hostBytesPerSecond', hostsPerDataCentre)) },
      slopes: ['directory.hostProcessorUs', 'directory.hostBytesPerSecond'],
      mechanism: 'full mesh within a data centre, one relay to each other data centre'
    },
    {
      role,
      what: `load of ${engines} engines, changed every ${assumed.announceEverySeconds} s`,
      cost: { corePercent: corePercent(multiply(followUs(book), engines)), kilobytesPerSecond: kilobytes(multiply(book.perUnit('directory.endpointBytesPerSecond'), engines)) },
      slopes: ['directory.endpointProcessorUs', 'directory.endpointProcessorOf18Us', 'directory.endpointBytesPerSecond'],
      mechanism: 'batched load records to every host of the data centre'
    },
    {
      role,
      what: 'announcements that the host receives itself',
      cost: { corePercent: corePercent(multiply(book.perUnit('directory.announceUs'), announcementsPerSecond / entryHosts)) },
      slopes: ['directory.announceUs'],
      mechanism: 'each endpoint announces to 3 hosts by rendezvous hashing'
    },
    {
      role,
      what: `the whole process, resident, with ${engines} endpoints known (of which ${(multiply(book.at('directory.knownLiveBytes', engines), 1 / BYTES_PER_MB) ?? 0).toFixed(0)} MB are live objects)`,
      cost: { megabytes: multiply(book.at('directory.knownResidentBytes', engines), 1 / BYTES_PER_MB) },
      slopes: ['directory.knownResidentBytes', 'directory.knownLiveBytes'],
      mechanism: 'one record per endpoint; most of the memory is Node.js with its libraries'
    }
  ]
}

function entryWorkRows (book: SlopeBook): CapacityRow[] {
  const role = Role.EntryWork
  const requests = target.requestsPerSecond / target.entryHosts
  const tokens = target.tokensPerSecond / target.entryHosts
  const streams = tokens / assumed.tokensPerSecondPerStream
  return [
    {
      role,
      what: `${requests.toFixed(1)} requests a second`,
      cost: { corePercent: corePercent(multiply(book.perUnit('requests.plainCallUs'), requests)) },
      slopes: ['requests.plainCallUs'],
      mechanism: 'advice spreads callers over the hosts'
    },
    {
      role,
      what: `endpoint selection among ${target.engines} endpoints for the same requests`,
      cost: { corePercent: corePercent(multiply(book.at('requests.assignUs', target.engines), requests)) },
      slopes: ['requests.assignUs'],
      mechanism: 'the selection examines every endpoint of the pool'
    },
    {
      role,
      what: `${tokens.toFixed(0)} tokens a second, one per chunk`,
      cost: { corePercent: corePercent(multiply(book.perUnit('requests.tokenUs'), tokens)) },
      slopes: ['requests.tokenUs'],
      mechanism: 'each chunk is checked, ordered and forwarded'
    },
    {
      role,
      what: `${streams.toFixed(0)} open streams of ${assumed.tokensPerSecondPerStream} tokens a second`,
      cost: { megabytes: multiply(book.perUnit('requests.openStreamBytes'), streams / BYTES_PER_MB) },
      slopes: ['requests.openStreamBytes'],
      mechanism: 'bounded buffers, back pressure to the engine'
    }
  ]
}

function controlLeaderRows (book: SlopeBook): CapacityRow[] {
  const role = Role.ControlLeader
  const { entryHosts, samplesPerStep, trainers } = target
  return [
    {
      role,
      what: `${entryHosts} leases, renewed every second`,
      cost: { corePercent: corePercent(book.at('control.leaderSteadyUs', entryHosts)), kilobytesPerSecond: kilobytes(book.at('control.leaderSteadyBytes', entryHosts)), megabytes: multiply(book.at('control.leaderLiveBytes', entryHosts), 1 / BYTES_PER_MB) },
      slopes: ['control.leaderSteadyUs', 'control.leaderSteadyBytes', 'control.leaderLiveBytes'],
      mechanism: 'leases in the memory of the leader, without log entries'
    },
    {
      role,
      what: `${target.changesPerDay} changes a day to ${entryHosts} hosts`,
      cost: { corePercent: corePercent(multiply(book.at('control.changeLeaderUs', entryHosts), changesPerSecond)), kilobytesPerSecond: kilobytes(multiply(book.at('control.changeLeaderBytes', entryHosts), changesPerSecond)) },
      slopes: ['control.changeLeaderUs', 'control.changeLeaderBytes'],
      mechanism: 'one push to each host'
    },
    {
      role,
      what: `${commandsPerSecond.toFixed(0)} commands a second: ${slotLeasesPerSecond.toFixed(0)} slot leases, ${(2 * samplesPerSecond).toFixed(0)} for samples, ${(assumed.commandsPerUnrepeatable * unrepeatablePerSecond).toFixed(0)} for unrepeatable requests`,
      cost: { corePercent: corePercent(multiply(book.perUnit('control.commitLeaderUs'), commandsPerSecond)), kilobytesPerSecond: kilobytes(multiply(book.perUnit('control.commitLeaderBytes'), commandsPerSecond)) },
      slopes: ['control.commitLeaderUs', 'control.commitLeaderBytes'],
      mechanism: 'group commit: one sync for all waiting commands'
    },
    {
      role,
      what: `${trainers} ledgers of ${samplesPerStep} samples a step, applied`,
      cost: { corePercent: corePercent(multiply(book.at('rollouts.stepApplyUs', samplesPerStep), trainers / assumed.stepSeconds)), megabytes: multiply(book.at('rollouts.stepSnapshotBytes', samplesPerStep), trainers / BYTES_PER_MB) },
      slopes: ['rollouts.stepApplyUs', 'rollouts.stepSnapshotBytes'],
      mechanism: 'the ledger keeps the current step only'
    }
  ]
}

function controlFollowerRows (book: SlopeBook): CapacityRow[] {
  return [{
    role: Role.ControlFollower,
    what: `the same ${commandsPerSecond.toFixed(0)} commands a second, replicated`,
    cost: { corePercent: corePercent(multiply(book.perUnit('control.commitFollowerUs'), commandsPerSecond)), kilobytesPerSecond: kilobytes(multiply(book.perUnit('control.commitFollowerBytes'), commandsPerSecond)) },
    slopes: ['control.commitFollowerUs', 'control.commitFollowerBytes'],
    mechanism: 'batches of entries, one sync each'
  }]
}

/** Number of control hosts in the measurements for the users' platform; each host follows all of them. */
const MEASURED_CONTROLS = 4

function platformHostRows (book: SlopeBook): CapacityRow[] {
  const { entryHosts, engines, controlHostsAtMost } = target
  const role = Role.PlatformHost
  const controls = controlHostsAtMost / MEASURED_CONTROLS
  return [
    {
      role,
      what: `${entryHosts} hosts, known from ${controlHostsAtMost} control hosts`,
      cost: { corePercent: corePercent(multiply(book.at('fleetHosts.hostUs', entryHosts), controls)), kilobytesPerSecond: kilobytes(multiply(book.at('fleetHosts.hostBytes', entryHosts), controls)) },
      slopes: ['fleetHosts.hostUs', 'fleetHosts.hostBytes'],
      mechanism: 'a heartbeat to each control host twice a second; hosts are sent changes only'
    },
    {
      role,
      what: `${engines} engines with new weights every few seconds`,
      cost: { corePercent: corePercent(multiply(book.perUnit('fleetEndpoints.hostUs'), engines)), kilobytesPerSecond: kilobytes(multiply(book.perUnit('fleetEndpoints.hostBytes'), engines)) },
      slopes: ['fleetEndpoints.hostUs', 'fleetEndpoints.hostBytes'],
      mechanism: 'hosts are notified when an endpoint joins, moves or leaves; its weights are sent to store hosts only'
    }
  ]
}

function platformControlRows (book: SlopeBook): CapacityRow[] {
  const { entryHosts, engines, controlHostsAtMost } = target
  const role = Role.PlatformControl
  return [
    {
      role,
      what: `${entryHosts} hosts that follow`,
      cost: { corePercent: corePercent(book.at('fleetHosts.controlUs', entryHosts)), kilobytesPerSecond: kilobytes(book.at('fleetHosts.controlBytes', entryHosts)), megabytes: multiply(book.at('fleetHosts.controlLiveBytes', entryHosts), 1 / BYTES_PER_MB) },
      slopes: ['fleetHosts.controlUs', 'fleetHosts.controlBytes', 'fleetHosts.controlLiveBytes'],
      mechanism: 'one session per host; a push is encoded once for all hosts'
    },
    {
      role,
      what: `its share of ${engines} engines, with ${controlHostsAtMost} control hosts`,
      cost: { corePercent: corePercent(multiply(book.perUnit('fleetEndpoints.controlUs'), engines * MEASURED_CONTROLS / controlHostsAtMost)), kilobytesPerSecond: kilobytes(multiply(book.perUnit('fleetEndpoints.controlBytes'), engines * MEASURED_CONTROLS / controlHostsAtMost)) },
      slopes: ['fleetEndpoints.controlUs', 'fleetEndpoints.controlBytes'],
      mechanism: 'each endpoint stays with one control host'
    }
  ]
}

export function capacityRows (book: SlopeBook): CapacityRow[] {
  return [
    ...entryControlRows(book), ...entryWorkRows(book), ...controlLeaderRows(book), ...controlFollowerRows(book),
    ...platformHostRows(book), ...platformControlRows(book)
  ]
}
