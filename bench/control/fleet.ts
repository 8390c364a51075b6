/**
 * The cost of entry hosts for the control hosts, and of the control hosts for
 * entry hosts: three control processes, and 10 to 300 control clients in this
 * process. Processor time and memory of the leader are read from /proc.
 */
import { readFileSync } from 'node:fs'
import { NetworkControlClient } from '../../src/controlClient/networkControlClient.js'
import { TcpTransport, type TrafficCounts } from '../../src/transport/tcpTransport.js'
import { systemClock } from '../../src/utils/clock.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { systemRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { ControlProcesses, until, type ControlProcess } from '../../tests/fixtures/controlProcesses.js'
import { median, type BenchResult } from '../benchResult.js'

/** Clock ticks a second in /proc/…/stat. */
const TICKS_PER_SECOND = 100

interface Fleet {
  control: ControlProcesses
  transport: TcpTransport
  scope: Scope
  clients: NetworkControlClient[]
}

function addClient (fleet: Fleet): void {
  const number = fleet.clients.length + 1
  const fail = (error: unknown): never => { throw error }
  const client = new NetworkControlClient({
    clock: systemClock,
    random: systemRandom(),
    metrics: memoryMetrics(),
    transport: fleet.transport,
    supervisor: new Supervisor(fleet.scope.child(`entry-${number}`), (_task, error) => fail(error)),
    onFatal: fail,
    controlAddresses: fleet.control.peerAddresses,
    host: { hostId: `entry-${number}`, dataCentre: 'hal', callerAddress: `127.0.18.100:${number}`, peerAddress: `127.0.18.101:${number}`, incarnation: 1 }
  })
  client.start()
  fleet.clients.push(client)
}

function cpuSeconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND
}

function residentMegabytes (pid: number): number {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1024
}

interface Reading {
  hostsCount: number
  bytesPerHostSecond: number
  messagesPerHostSecond: number
  leaderCorePercent: number
  leaderResidentMegabytes: number
}

/** Measures the steady state: only lease renewals, no changes. */
async function measureSteady (fleet: Fleet, leader: ControlProcess, durationMs: number): Promise<Reading> {
  const pid = leader.child?.pid ?? 0
  const before: TrafficCounts = { ...fleet.transport.counts }
  const processorBefore = cpuSeconds(pid)
  const startedAtMs = systemClock.nowMs()
  await new Promise(resolve => setTimeout(resolve, durationMs))
  const seconds = (systemClock.nowMs() - startedAtMs) / 1000
  const after = fleet.transport.counts
  const hostsCount = fleet.clients.length
  const per = (value: number): number => value / hostsCount / seconds
  return {
    hostsCount,
    bytesPerHostSecond: per(after.sentBytes + after.receivedBytes - before.sentBytes - before.receivedBytes),
    messagesPerHostSecond: per(after.sentMessages + after.receivedMessages - before.sentMessages - before.receivedMessages),
    leaderCorePercent: (cpuSeconds(pid) - processorBefore) / seconds * 100,
    leaderResidentMegabytes: residentMegabytes(pid)
  }
}

/** Makes sequential changes; measures the time until each is in force on every host, and the bytes received. */
async function measureChanges (fleet: Fleet, changesCount: number): Promise<BenchResult[]> {
  const lastMs: number[] = []
  const medianMs: number[] = []
  const hostsCount = fleet.clients.length
  let noticesBytes = 0
  for (let number = 1; number <= changesCount; number++) {
    const inForceAtMs: number[] = []
    for (const client of fleet.clients) {
      const observe = client.configuration.changes.take(1).observe(() => inForceAtMs.push(systemClock.nowMs()))
      observe.catch(() => {})
    }
    await new Promise(resolve => setTimeout(resolve, 20))
    const receivedBefore = fleet.transport.counts.receivedBytes
    await fleet.control.putUntilAnswered(`measured-${number}`, 'gold', number)
    const acceptedAtMs = systemClock.nowMs()
    await until(async () => inForceAtMs.length === hostsCount || undefined, 'in force everywhere')
    noticesBytes += fleet.transport.counts.receivedBytes - receivedBefore
    // A push may arrive before the response to the operator.
    const delaysMs = inForceAtMs.map(atMs => Math.max(0, atMs - acceptedAtMs)).sort((left, right) => left - right)
    medianMs.push(delaysMs[Math.floor(hostsCount / 2)] ?? 0)
    lastMs.push(delaysMs.at(-1) ?? 0)
  }
  const detail = { hostsCount, changesCount }
  return [
    { name: 'control.inForce.medianMs', ...median(medianMs), unit: 'ms', detail },
    { name: 'control.inForce.worstMs', value: Math.max(...lastMs), unit: 'ms', detail },
    { name: 'control.inForce.receivedBytesPerHost', value: Math.round(noticesBytes / changesCount / hostsCount), unit: 'bytes', detail }
  ]
}

async function measureFailover (fleet: Fleet, roundsCount: number): Promise<BenchResult> {
  const durationsMs: number[] = []
  for (let round = 1; round <= roundsCount; round++) {
    const leader = await fleet.control.untilLeader()
    const startedAtMs = systemClock.nowMs()
    await fleet.control.kill(leader)
    await fleet.control.putUntilAnswered(`failover-${round}`, 'silver', round)
    durationsMs.push(systemClock.nowMs() - startedAtMs)
    fleet.control.start(leader)
    await fleet.control.untilStatus(({ members }) => members.every(member => member.isLive), 'all live again')
  }
  return { name: 'control.failoverMs', ...median(durationsMs), unit: 'ms', detail: { roundsCount, worstMs: Math.round(Math.max(...durationsMs)) } }
}

async function measureSize (fleet: Fleet, leader: ControlProcess, hostsCount: number, quick: boolean): Promise<Reading> {
  while (fleet.clients.length < hostsCount) addClient(fleet)
  await until(async () => fleet.clients.every(client => client.holdsLease()) || undefined, 'leases')
  await new Promise(resolve => setTimeout(resolve, quick ? 500 : 2_000))
  return await measureSteady(fleet, leader, quick ? 2_000 : 8_000)
}

function resultsOf (reading: Reading): BenchResult[] {
  const name = `control.fleet.${reading.hostsCount}`
  return [
    { name: `${name}.bytesPerHostSecond`, value: Math.round(reading.bytesPerHostSecond), unit: 'bytes' },
    { name: `${name}.messagesPerHostSecond`, value: Number(reading.messagesPerHostSecond.toFixed(2)), unit: 'count' },
    { name: `${name}.leaderCore`, value: Number(reading.leaderCorePercent.toFixed(2)), unit: 'percent' },
    { name: `${name}.leaderResidentMegabytes`, value: Math.round(reading.leaderResidentMegabytes), unit: 'count' }
  ]
}

function slopeOf (readings: Reading[]): BenchResult[] {
  const [first, last] = [readings[0], readings.at(-1)]
  if (!first || !last || first === last) return []
  const slope = (last.leaderCorePercent - first.leaderCorePercent) / (last.hostsCount - first.hostsCount)
  return [{ name: 'control.fleet.leaderCorePerHost', value: Number(slope.toFixed(4)), unit: 'percent' }]
}

export async function measureFleet (quick: boolean, report: (line: string) => void): Promise<BenchResult[]> {
  const control = new ControlProcesses(19, 3)
  const fleet: Fleet = { control, transport: new TcpTransport(), scope: new Scope('fleet'), clients: [] }
  const results: BenchResult[] = []
  const readings: Reading[] = []
  try {
    control.startAll()
    const leader = await control.untilLeader()
    await control.putUntilAnswered('before', 'gold', 1)
    for (const hostsCount of quick ? [10, 50] : [10, 50, 100, 300]) {
      const reading = await measureSize(fleet, leader, hostsCount, quick)
      report(`control.fleet: ${JSON.stringify(reading)}`)
      readings.push(reading)
      results.push(...resultsOf(reading))
      if (hostsCount === 50) results.push(...await measureChanges(fleet, quick ? 5 : 20))
    }
    results.push(...slopeOf(readings), await measureFailover(fleet, quick ? 1 : 5))
  } finally {
    fleet.scope.close('measured')
    await control.stop()
  }
  return results
}
