/**
 * The cost of one call over each available transport: framed CBOR, plain HTTP with
 * undici, and tRPC over HTTP. Both ends run in this process, one call at a time,
 * with interleaved rounds, so that ratios are comparable within a run.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createTRPCClient, httpLink } from '@trpc/client'
import { initTRPC } from '@trpc/server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { Pool, fetch as undiciFetch } from 'undici'
import { z } from 'zod'
import { RpcHandlers, RpcPeer, rpcMethod } from '../src/transport/rpcPeer.js'
import { TcpTransport } from '../src/transport/tcpTransport.js'
import { systemClock } from '../src/utils/clock.js'
import { Progress } from '../src/utils/progress.js'
import { Scope } from '../src/utils/scope.js'
import { median, type BenchOptions, type BenchResult } from './benchResult.js'

const WARM_UP_CALLS = 500
const ROUNDS = 5
const HANG_GUARD_MS = 110_000

const heartbeatSchema = z.object({ hostId: z.string(), term: z.number(), revision: z.number(), remainingMs: z.number() })
type Heartbeat = z.infer<typeof heartbeatSchema>

const heartbeat: Heartbeat = { hostId: 'entry-zaandam-hal-a-03', term: 17, revision: 48_211, remainingMs: 2_750 }

interface Wire {
  name: string
  call (): Promise<void>
}

function fail (error: unknown): never {
  throw error
}

async function framedWire (scope: Scope): Promise<Wire & { transport: TcpTransport }> {
  const method = rpcMethod('renewLease', heartbeatSchema, heartbeatSchema)
  const handlers = new RpcHandlers()
  handlers.on(method, body => body)
  const transport = new TcpTransport()
  const listener = await transport.listen('127.0.70.1:0', scope, connection => {
    const peer = new RpcPeer(connection, handlers, fail)
    scope.onClose(() => peer.connection.close('over'))
  })
  const outcome = await transport.connect(listener.address, scope)
  if (outcome.kind !== 'connected') throw new Error(outcome.reason)
  const peer = new RpcPeer(outcome.connection, new RpcHandlers(), fail)
  const progress = new Progress(systemClock, scope, systemClock.nowMs() + HANG_GUARD_MS)
  return {
    name: 'framed',
    transport,
    async call () {
      const reply = await peer.call(method, heartbeat, progress)
      if (reply.kind !== 'replied') throw new Error(reply.reason)
    }
  }
}

async function readBody (request: IncomingMessage): Promise<string> {
  let text = ''
  for await (const chunk of request) text += chunk
  return text
}

async function listenHttp (scope: Scope, handler: (request: IncomingMessage, response: ServerResponse) => void): Promise<string> {
  const server = createServer(handler)
  await new Promise<void>(resolve => server.listen(0, '127.0.70.1', resolve))
  scope.onClose(() => {
    server.closeAllConnections()
    server.close()
  })
  return `http://127.0.70.1:${(server.address() as AddressInfo).port}`
}

async function httpWire (scope: Scope): Promise<Wire> {
  const url = await listenHttp(scope, (request, response) => {
    readBody(request).then(text => {
      response.setHeader('content-type', 'application/json')
      response.end(JSON.stringify(heartbeatSchema.parse(JSON.parse(text))))
    }, fail)
  })
  const pool = new Pool(url, { connections: 1, pipelining: 1 })
  scope.onClose(() => { pool.destroy().catch(fail) })
  return {
    name: 'http',
    async call () {
      const response = await pool.request({ method: 'POST', path: '/', body: JSON.stringify(heartbeat) })
      heartbeatSchema.parse(await response.body.json())
    }
  }
}

async function trpcWire (scope: Scope): Promise<Wire> {
  const trpc = initTRPC.create()
  const router = trpc.router({
    renewLease: trpc.procedure.input(heartbeatSchema).mutation(({ input }) => input)
  })
  const url = await listenHttp(scope, createHTTPHandler({ router }))
  const client = createTRPCClient<typeof router>({ links: [httpLink({ url, fetch: undiciFetch as never })] })
  return {
    name: 'trpc',
    async call () {
      await client.renewLease.mutate(heartbeat)
    }
  }
}

/** Processor time of one call in microseconds, both ends together. */
async function readProcessorUs (wire: Wire, calls: number): Promise<number> {
  const before = process.cpuUsage()
  for (let call = 0; call < calls; call++) await wire.call()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / calls
}

export async function run (options: BenchOptions): Promise<BenchResult[]> {
  const scope = new Scope('bench')
  const framed = await framedWire(scope)
  const wires: Wire[] = [framed, await httpWire(scope), await trpcWire(scope)]
  const calls = options.quick ? 300 : 1_500
  for (const wire of wires) await readProcessorUs(wire, WARM_UP_CALLS)
  const counts = { ...framed.transport.counts }
  await framed.call()
  const bytesPerCall = framed.transport.counts.sentBytes - counts.sentBytes
  const messagesPerCall = framed.transport.counts.sentMessages - counts.sentMessages
  const readings = new Map(wires.map(wire => [wire.name, [] as number[]]))
  for (let round = 0; round < ROUNDS; round++) {
    for (const wire of wires) readings.get(wire.name)!.push(await readProcessorUs(wire, calls))
  }
  scope.close('bench over')
  return collect(readings, calls, bytesPerCall, messagesPerCall)
}

function collect (readings: Map<string, number[]>, calls: number, bytesPerCall: number, messagesPerCall: number): BenchResult[] {
  const framed = readings.get('framed')!
  const detail = { calls, rounds: ROUNDS, bothEnds: true }
  const results: BenchResult[] = [
    { name: 'transport.framedCallBytes', value: bytesPerCall, unit: 'bytes', detail: 'request and reply' },
    { name: 'transport.framedCallMessages', value: messagesPerCall, unit: 'count' }
  ]
  for (const [name, values] of readings) {
    results.push({ name: `transport.${name}ProcessorUs`, ...median(values), unit: 'us', detail })
    if (name === 'framed') continue
    const ratios = framed.map((value, round) => value / values[round]!)
    results.push({ name: `transport.framedTo${name === 'http' ? 'Http' : 'Trpc'}`, ...median(ratios), unit: 'ratio', detail })
  }
  return results
}
