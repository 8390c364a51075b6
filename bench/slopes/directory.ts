/**
 * The cost of the directory for entry hosts, over real connections: hosts that
 * report their state, and endpoints whose load changes with every announcement. The
 * hosts share one process, so its processor time is divided by their number; the
 * endpoints run in another process.
 */
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { EntryCluster } from '../../tests/fixtures/entryCluster.js'
import { MeasuredProcess } from './childProcess.js'
import type { AnnouncerOptions } from './announcers.js'
import type { SlopeMeasurement } from './slope.js'

const SETTLE_MS = 4_000
const WINDOW_MS = 6_000
const DATA_CENTRE = 'ubungo'
const HOSTS_FOR_ENDPOINTS = 6
/** A second setup, to separate the cost of following other hosts from that of announcements. */
const MANY_HOSTS_FOR_ENDPOINTS = 18
const ENDPOINT_INTERVAL_MS = 1_000
/** The product's defaults, as the fixture's are shorter. */
const leases = { adviceValidMs: 5_000, hostLeaseMs: 6_000, endpointLeaseMs: 10_000 }

interface FleetReading {
  bytesPerSecond: number
  messagesPerSecond: number
  processorUsPerSecond: number
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

function totalTraffic (transports: TcpTransport[]): { bytes: number, messages: number } {
  const sum = (read: (counts: TcpTransport['counts']) => number): number => transports.reduce((total, { counts }) => total + read(counts), 0)
  return {
    bytes: sum(counts => counts.sentBytes + counts.receivedBytes),
    messages: sum(counts => counts.sentMessages + counts.receivedMessages)
  }
}

async function readFleet (hostsCount: number, endpointsCount: number): Promise<FleetReading> {
  const cluster = new EntryCluster()
  for (let host = 0; host < hostsCount; host++) await cluster.start(DATA_CENTRE, leases)
  const options: AnnouncerOptions = {
    endpointsCount,
    intervalMs: ENDPOINT_INTERVAL_MS,
    dataCentre: DATA_CENTRE,
    hosts: cluster.hosts.map(({ settings }) => settings.host.callerAddress)
  }
  const endpoints = endpointsCount > 0 ? await MeasuredProcess.start('announce', options) : undefined
  await pause(SETTLE_MS)
  const transports = cluster.hosts.map(({ transport }) => transport)
  const before = { ...totalTraffic(transports), processor: process.cpuUsage(), atMs: performance.now() }
  await pause(WINDOW_MS)
  const after = totalTraffic(transports)
  const used = process.cpuUsage(before.processor)
  const hostSeconds = hostsCount * (performance.now() - before.atMs) / 1_000
  await endpoints?.stop()
  await cluster.stop()
  return {
    bytesPerSecond: (after.bytes - before.bytes) / hostSeconds,
    messagesPerSecond: (after.messages - before.messages) / hostSeconds,
    processorUsPerSecond: (used.user + used.system) / hostSeconds
  }
}

function valuesOf ({ bytesPerSecond, messagesPerSecond, processorUsPerSecond }: FleetReading): number[] {
  return [bytesPerSecond, messagesPerSecond, processorUsPerSecond]
}

export const directorySlopes: SlopeMeasurement[] = [
  {
    metrics: [
      { name: 'directory.hostBytesPerSecond', what: 'bytes a second that an entry host sends and receives to stay connected with its data centre and to know its hosts, without endpoints', unit: 'bytes/s' },
      { name: 'directory.hostMessagesPerSecond', what: 'messages a second of the same', unit: 'messages/s' },
      { name: 'directory.hostProcessorUs', what: 'processor time a second of the same', unit: 'us/s' }
    ],
    sizeUnit: 'entry hosts of a data centre',
    sizes: [4, 8, 16, 32],
    repeats: 2,
    read: async size => valuesOf(await readFleet(size, 0))
  },
  {
    metrics: [
      { name: 'directory.endpointBytesPerSecond', what: `bytes a second between entry hosts, at one of ${HOSTS_FOR_ENDPOINTS} hosts of one data centre, for endpoints that announce a changed load every second to 3 hosts`, unit: 'bytes/s' },
      { name: 'directory.endpointMessagesPerSecond', what: 'messages a second of the same', unit: 'messages/s' },
      { name: 'directory.endpointProcessorUs', what: 'processor time a second of the same, with the announcements by HTTP', unit: 'us/s' }
    ],
    sizeUnit: 'endpoints',
    sizes: [25, 50, 100, 200],
    repeats: 2,
    read: async size => valuesOf(await readFleet(HOSTS_FOR_ENDPOINTS, size))
  },
  {
    metrics: [
      { name: 'directory.endpointProcessorOf18Us', what: `processor time a second of one of ${MANY_HOSTS_FOR_ENDPOINTS} hosts for the same as \`directory.endpointProcessorUs\``, unit: 'us/s' }
    ],
    sizeUnit: 'endpoints',
    sizes: [25, 50, 100, 200],
    repeats: 2,
    read: async size => [(await readFleet(MANY_HOSTS_FOR_ENDPOINTS, size)).processorUsPerSecond]
  }
]
