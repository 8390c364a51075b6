/**
 * The cost of requests for an entry host: the real entry program in a separate
 * process (with control in memory), endpoints in another one, and the callers of
 * the load tool in this process.
 */
import { experimentSchema } from '../../src/load/experiment.js'
import { LoadRun } from '../../src/load/loadRun.js'
import { EndpointKind, ResourceKind } from '../../src/protocol/resources.js'
import { systemClock } from '../../src/utils/clock.js'
import { Scope } from '../../src/utils/scope.js'
import { EntryCluster } from '../../tests/fixtures/entryCluster.js'
import { until } from '../../tests/fixtures/until.js'
import { MeasuredProcess, serveUsage, usagePerSecond } from './childProcess.js'
import { MAX_CONCURRENT, type PacedEndpointOptions } from './paceEndpoint.js'
import type { SlopeMeasurement } from './slope.js'

const TOKENS_PER_REQUEST = 100
const TOKEN_INTERVAL_MS = 10
const WARM_UP_MS = 3_000
const WINDOW_MS = 6_000
const DATA_CENTRE = 'ubungo'
const leases = { adviceValidMs: 5_000, hostLeaseMs: 6_000, endpointLeaseMs: 10_000 }

/** Called in a child process: starts an entry host, which accepts work once it knows an endpoint. */
export async function runEntry (): Promise<void> {
  const cluster = new EntryCluster()
  const pool = { endpointKind: EndpointKind.Engine, model: 'practice-lm', maxConcurrentCount: MAX_CONCURRENT }
  cluster.control.put(ResourceKind.EndpointPool, 'lm', pool)
  const host = await cluster.start(DATA_CENTRE, leases)
  serveUsage(host.settings.host.callerAddress, { counts: host.transport.counts })
}

interface TestSite {
  entry: MeasuredProcess
  endpoint: MeasuredProcess
  address: string
}

async function startTestSite (tokenIntervalMs: number, pool: PacedEndpointOptions['pool']): Promise<TestSite> {
  const entry = await MeasuredProcess.start('entry', null)
  const address = String(entry.ready)
  const options: PacedEndpointOptions = { entryAddress: address, pool, dataCentre: DATA_CENTRE, tokensCount: TOKENS_PER_REQUEST, tokenIntervalMs }
  const endpoint = await MeasuredProcess.start('endpoint', options)
  await until(async () => {
    const answer = await fetch(`http://${address}/v1/advice?dataCentre=${DATA_CENTRE}&caller=load`)
    return (await answer.json() as { hosts: string[] }).hosts.length > 0
  })
  return { entry, endpoint, address }
}

async function runLoad (address: string, perSecond: number, durationMs: number, workload: object): Promise<void> {
  const experiment = experimentSchema.parse({
    name: 'slope',
    durationMs,
    dataCentre: DATA_CENTRE,
    entryHosts: [address],
    rate: { perSecond },
    workloads: [workload]
  })
  const run = new LoadRun(experiment, { clock: systemClock, scope: new Scope('load'), pids: new Map(), send: () => {}, onProgress: () => {} })
  const outcome = await run.run()
  if (outcome.kind !== 'report') throw new Error(outcome.reason)
  const { all, brokenCount } = outcome.report
  if (brokenCount > 0 || all.wholeCount < all.sentCount) throw new Error(`${all.wholeCount} of ${all.sentCount} requests completed: ${JSON.stringify(all.refusals)}`)
}

/** Processor time a second of the entry host under a steady load. */
async function readLoad (perSecond: number, pool: PacedEndpointOptions['pool'], workload: object): Promise<number[]> {
  const { entry, endpoint, address } = await startTestSite(TOKEN_INTERVAL_MS, pool)
  await runLoad(address, perSecond, WARM_UP_MS, workload)
  const before = await entry.usage()
  const startMs = systemClock.nowMs()
  await runLoad(address, perSecond, WINDOW_MS, workload)
  const elapsedMs = systemClock.nowMs() - startMs
  const after = await entry.usage()
  await Promise.all([entry.stop(), endpoint.stop()])
  // Load is sent during the window only; responses still in flight end a little later.
  return [usagePerSecond(before, after, elapsedMs).processorUs * elapsedMs / WINDOW_MS]
}

/** Growth of the live memory of the entry host with streams that stay open. */
async function readOpenStreams (streamsCount: number): Promise<number[]> {
  const { entry, endpoint, address } = await startTestSite(60_000, 'lm')
  const before = await entry.usage()
  const scope = new Scope('streams')
  const bodies = Array.from({ length: streamsCount }, async (_, index) => {
    const answer = await fetch(`http://${address}/v1/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-deadline-ms': '120000' },
      body: JSON.stringify({ model: 'lm', prompt: `card ${index} `.padEnd(1_000, 'kaart '), max_tokens: TOKENS_PER_REQUEST, stream: true }),
      signal: scope.signal()
    })
    if (answer.status !== 200) throw new Error(await answer.text())
  })
  await Promise.all(bodies)
  const after = await entry.usage()
  scope.close('read')
  await Promise.all([entry.stop(), endpoint.stop()])
  return [after.liveBytes - before.liveBytes]
}

const plainCall = { name: 'look-up', kind: 'service', pool: 'booking', path: '/stock', method: 'GET', deadlineMs: 30_000 }
const completion = { name: 'hint', kind: 'completion', model: 'lm', maxTokensCount: TOKENS_PER_REQUEST, deadlineMs: 30_000 }

export const entrySlopes: SlopeMeasurement[] = [
  {
    metrics: [{ name: 'requests.plainCallUs', what: 'processor time a second of an entry host for plain calls to a service', unit: 'us/s' }],
    sizeUnit: 'plain calls a second',
    sizes: [25, 50, 100, 200],
    repeats: 2,
    read: async size => await readLoad(size, 'booking', plainCall)
  },
  {
    metrics: [{ name: 'requests.tokenUs', what: `processor time a second of an entry host for streamed completions of ${TOKENS_PER_REQUEST} tokens, one token a chunk`, unit: 'us/s' }],
    sizeUnit: 'tokens a second',
    sizes: [500, 1_000, 2_000, 4_000],
    repeats: 2,
    read: async size => await readLoad(size / TOKENS_PER_REQUEST, 'lm', completion)
  },
  {
    metrics: [{ name: 'requests.openStreamBytes', what: 'live memory of an entry host for streams that stay open, with prompts of 1,000 bytes', unit: 'bytes' }],
    sizeUnit: 'open streams',
    sizes: [50, 100, 200, 400],
    repeats: 2,
    read: readOpenStreams
  }
]
