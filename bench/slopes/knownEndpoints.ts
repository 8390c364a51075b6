/**
 * The cost of endpoints for the host that they announce themselves to: one entry
 * host in a separate process, and endpoints that announce themselves to it.
 */
import { MeasuredProcess, usagePerSecond } from './childProcess.js'
import type { AnnouncerOptions } from './announcers.js'
import type { SlopeMeasurement } from './slope.js'

const SETTLE_MS = 4_000
const WINDOW_MS = 6_000
const INTERVAL_MS = 1_000

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

async function readAnnounced (endpointsCount: number): Promise<number[]> {
  const entry = await MeasuredProcess.start('entry', null)
  const options: AnnouncerOptions = { endpointsCount, intervalMs: INTERVAL_MS, dataCentre: 'ubungo', hosts: [String(entry.ready)] }
  const endpoints = await MeasuredProcess.start('announce', options)
  await pause(SETTLE_MS)
  const before = await entry.usage()
  const startMs = performance.now()
  await pause(WINDOW_MS)
  const after = await entry.usage()
  const used = usagePerSecond(before, after, performance.now() - startMs)
  await Promise.all([entry.stop(), endpoints.stop()])
  return [used.processorUs, after.liveBytes, after.residentBytes]
}

export const knownEndpointSlopes: SlopeMeasurement[] = [{
  metrics: [
    { name: 'directory.announceUs', what: 'processor time a second of an entry host for endpoints that announce a changed load to it every second, by HTTP', unit: 'us/s' },
    { name: 'directory.knownLiveBytes', what: 'live memory of an entry host that knows endpoints', unit: 'bytes' },
    { name: 'directory.knownResidentBytes', what: 'resident memory of the same process', unit: 'bytes' }
  ],
  sizeUnit: 'endpoints',
  sizes: [75, 150, 300, 600],
  repeats: 2,
  read: readAnnounced
}]
