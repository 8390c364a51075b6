/**
 * The cost of an entry host compared with a bare pass-through from node:http to
 * undici in the same run: processor time and memory per request, for plain calls
 * and for token streams.
 */
import { Agent } from 'undici'
import { EndpointKind } from '../src/protocol/resources.js'
import { chunkEvent, completionOf, TestEndpoint, type Handler } from '../tests/fixtures/testEndpoint.js'
import { median, type BenchOptions, type BenchResult } from './benchResult.js'
import { Proxy } from './overhead/proxies.js'
import { ProxyKind } from './overhead/proxyMessages.js'

const CONCURRENT_COUNT = 16
const ROUNDS_COUNT = 5
const PLAIN_BODY = 'drum'.repeat(64)
const TOKENS_PER_STREAM = 100
const OPEN_STREAMS_COUNT = 400
const MICROS_PER_SECOND = 1_000_000

interface Workload {
  name: string
  requestsCount: number
  path: string
  body: string
}

interface Reading {
  microsPerRequest: number
  residentBytes: number
}

const echo: Handler = (request, response, body) => {
  const requestId = request.headers['x-request-id']
  response.writeHead(200, { 'content-type': 'text/plain', 'content-length': body.length, ...(requestId === undefined ? {} : { 'x-request-id': requestId }) })
  response.end(body)
}

/** Sends each token separately, as an engine that generates one token per round. */
const tokens: Handler = async (_request, response, body) => {
  const { request_id: id = 'bare', prompt } = completionOf(body)
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  if (prompt === 'held') return
  for (let index = 0; index < TOKENS_PER_STREAM; index++) {
    response.write(chunkEvent('engine', id, index, ['token '], index === TOKENS_PER_STREAM - 1))
    await new Promise(resolve => setImmediate(resolve))
  }
  response.end('data: [DONE]\n\n')
}

export async function run (options: BenchOptions): Promise<BenchResult[]> {
  const service = new TestEndpoint('service', EndpointKind.Service, echo)
  const engine = new TestEndpoint('engine', EndpointKind.Engine, tokens)
  for (const endpoint of [service, engine]) endpoint.maxConcurrentCount = 10_000
  const entry = await Proxy.start(ProxyKind.Entry, '')
  await Promise.all([service.start(entry), engine.start(entry)])
  const agent = new Agent({ connections: CONCURRENT_COUNT, pipelining: 1 })
  try {
    await waitUntilServing(agent, entry.url)
    return [
      ...await compare(options, agent, entry, service.url, plainLoad(options)),
      ...await compare(options, agent, entry, engine.url, streamLoad(options)),
      ...await measureOpenStreams(entry)
    ]
  } finally {
    entry.stop()
    await agent.destroy()
    await Promise.all([service.kill(), engine.kill()])
  }
}

function plainLoad ({ quick }: BenchOptions): Workload {
  return { name: 'plain', requestsCount: quick ? 1_000 : 4_000, path: '/v1/services/booking/echo', body: PLAIN_BODY }
}

function streamLoad ({ quick }: BenchOptions): Workload {
  const body = JSON.stringify({ model: 'practice-lm', prompt: 'drum', stream: true, max_tokens: TOKENS_PER_STREAM })
  return { name: 'stream', requestsCount: quick ? 100 : 400, path: '/v1/completions', body }
}

/** Measures both sides alternately, so that other load on the machine affects both. */
async function compare ({ report }: BenchOptions, agent: Agent, entry: Proxy, targetUrl: string, load: Workload): Promise<BenchResult[]> {
  const bare = await Proxy.start(ProxyKind.Bare, targetUrl)
  const readings: Record<ProxyKind, Reading[]> = { [ProxyKind.Entry]: [], [ProxyKind.Bare]: [] }
  const ratios: number[] = []
  for (const proxy of [entry, bare]) await drive(agent, proxy, load)
  for (let round = 0; round < ROUNDS_COUNT; round++) {
    for (const proxy of [bare, entry]) readings[proxy.kind].push(await drive(agent, proxy, load))
    ratios.push(last(readings[ProxyKind.Entry]).microsPerRequest / last(readings[ProxyKind.Bare]).microsPerRequest)
    report(`${load.name} ${round + 1}/${ROUNDS_COUNT}: ${last(ratios).toFixed(2)} times the bare pass-through`)
  }
  bare.stop()
  const micros = (kind: ProxyKind): ReturnType<typeof median> => median(readings[kind].map(reading => reading.microsPerRequest))
  const detail = { requestsCount: load.requestsCount, concurrentCount: CONCURRENT_COUNT, rounds: ROUNDS_COUNT }
  return [
    { name: `entryOverhead.${load.name}.entry`, ...micros(ProxyKind.Entry), unit: 'us', detail },
    { name: `entryOverhead.${load.name}.bare`, ...micros(ProxyKind.Bare), unit: 'us', detail },
    { name: `entryOverhead.${load.name}.ratio`, ...median(ratios), unit: 'ratio', detail },
    { name: `entryOverhead.${load.name}.perCore`, value: MICROS_PER_SECOND / micros(ProxyKind.Entry).value, unit: 'per_second', detail: 'requests a second of processor time' },
    { name: `entryOverhead.${load.name}.resident`, value: last(readings[ProxyKind.Entry]).residentBytes, unit: 'bytes' }
  ]
}

async function drive (agent: Agent, proxy: Proxy, { requestsCount, path, body }: Workload): Promise<Reading> {
  const before = await proxy.usage()
  let remainingCount = requestsCount
  const worker = async (): Promise<void> => {
    while (remainingCount-- > 0) await send(agent, proxy.url, path, body)
  }
  await Promise.all(Array.from({ length: CONCURRENT_COUNT }, worker))
  const after = await proxy.usage()
  return { microsPerRequest: (after.processorMicros - before.processorMicros) / requestsCount, residentBytes: after.residentBytes }
}

async function send (agent: Agent, origin: string, path: string, body: string): Promise<void> {
  const response = await agent.request({ origin, path, method: 'POST', headers: { 'content-type': 'application/json' }, body })
  const text = await response.body.text()
  if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}: ${text}`)
}

/** Heap per open request on the entry host while the engine sends nothing. */
async function measureOpenStreams (entry: Proxy): Promise<BenchResult[]> {
  const agent = new Agent()
  const before = await entry.usage()
  const body = JSON.stringify({ model: 'practice-lm', prompt: 'held', stream: true })
  const openStreams = Array.from({ length: OPEN_STREAMS_COUNT }, () => send(agent, entry.url, '/v1/completions', body).catch(() => {}))
  await new Promise(resolve => setTimeout(resolve, 2_000))
  const after = await entry.usage()
  await agent.destroy()
  await Promise.all(openStreams)
  return [{ name: 'entryOverhead.heldRequest.heap', value: (after.heapBytes - before.heapBytes) / OPEN_STREAMS_COUNT, unit: 'bytes', detail: `${OPEN_STREAMS_COUNT} open streams, both connections included` }]
}

async function waitUntilServing (agent: Agent, url: string): Promise<void> {
  for (;;) {
    const answers = await Promise.all([plainLoad, streamLoad].map(load => {
      const { path, body } = load({ quick: true, seed: 0, report: () => {} })
      return send(agent, url, path, body).then(() => true, () => false)
    }))
    if (answers.every(Boolean)) return
    await new Promise(resolve => setTimeout(resolve, 100))
  }
}

function last<T> (values: T[]): T {
  const value = values.at(-1)
  if (value === undefined) throw new Error('no reading yet')
  return value
}
