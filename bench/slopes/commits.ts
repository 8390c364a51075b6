/**
 * The cost of log commands for the leader and a follower: three control hosts in
 * separate processes with their logs on disk, and unrepeatable requests that are
 * started at a constant rate, spread over the clients.
 */
import { UnrepeatableCommandKind } from '../../src/protocol/unrepeatableCommands.js'
import { ControlFleet } from './controlHosts.js'
import { usagePerSecond, type Usage } from './childProcess.js'
import { medianOf, type SlopeMeasurement } from './slope.js'

const CONTROLS = 3
const CLIENTS = 8
const WARM_UP_MS = 3_000
const WINDOW_MS = 6_000
const TICK_MS = 10

/** Sends commands at a constant rate; returns the time until the commit of each, in milliseconds. */
async function submitEvenly (fleet: ControlFleet, perSecond: number, durationMs: number, label: string): Promise<number[]> {
  const durationsMs: number[] = []
  const running: Array<Promise<void>> = []
  const startMs = performance.now()
  let sentCount = 0
  while (performance.now() - startMs < durationMs) {
    const dueCount = Math.min(Math.floor((performance.now() - startMs) * perSecond / 1_000), perSecond * durationMs / 1_000)
    while (sentCount < dueCount) running.push(submitOne(fleet, sentCount++, label, durationsMs))
    await new Promise(resolve => setTimeout(resolve, TICK_MS))
  }
  await Promise.all(running)
  return durationsMs
}

async function submitOne (fleet: ControlFleet, number: number, label: string, durationsMs: number[]): Promise<void> {
  const client = fleet.clients[number % CLIENTS]!
  const startMs = performance.now()
  const outcome = await client.submit({
    kind: UnrepeatableCommandKind.Start,
    callerName: 'deck-app',
    idempotencyKey: `${label}-${number}`,
    attemptId: `${label}-${number}`,
    generation: 0,
    requestHash: 'a3f1c29b77d0e4586c12b9fe0d3a7716',
    hostId: 'entry-1'
  }, fleet.progress())
  if (outcome.kind !== 'committed' || outcome.result.kind !== 'started') throw new Error(JSON.stringify(outcome))
  durationsMs.push(performance.now() - startMs)
}

async function usages (fleet: ControlFleet): Promise<Usage[]> {
  return await Promise.all(fleet.hosts.map(async host => await host.usage()))
}

async function readCommits (perSecond: number): Promise<number[]> {
  const fleet = await ControlFleet.start(CONTROLS, CLIENTS)
  await submitEvenly(fleet, perSecond, WARM_UP_MS, 'warm')
  const before = await usages(fleet)
  const startMs = performance.now()
  const durationsMs = await submitEvenly(fleet, perSecond, WINDOW_MS, 'read')
  const elapsedMs = performance.now() - startMs
  const after = await usages(fleet)
  await fleet.stop()
  const used = after.map((usage, index) => usagePerSecond(before[index]!, usage, elapsedMs)).sort((a, b) => b.frameBytes - a.frameBytes)
  const [leader, ...followers] = used
  const [leaderLive] = after.map(({ liveBytes }) => liveBytes)
  return [leader!.processorUs, leader!.frameBytes, medianOf(followers.map(({ processorUs }) => processorUs)), medianOf(followers.map(({ frameBytes }) => frameBytes)), medianOf(durationsMs), leaderLive!]
}

export const commitSlopes: SlopeMeasurement[] = [{
  metrics: [
    { name: 'control.commitLeaderUs', what: `processor time a second of the leader of ${CONTROLS} control hosts for commands that start an unrepeatable request`, unit: 'us/s' },
    { name: 'control.commitLeaderBytes', what: 'bytes a second that the leader sends and receives for the same', unit: 'bytes/s' },
    { name: 'control.commitFollowerUs', what: 'processor time a second of a follower for the same', unit: 'us/s' },
    { name: 'control.commitFollowerBytes', what: 'bytes a second of a follower for the same', unit: 'bytes/s' },
    { name: 'control.commitMs', what: 'from sending the command until its commit is known, median', unit: 'ms' },
    { name: 'control.ledgerLiveBytes', what: 'live memory of a control host after 9 s of the same', unit: 'bytes' }
  ],
  sizeUnit: 'commands a second',
  sizes: [50, 100, 200, 400],
  repeats: 2,
  read: readCommits
}]
