/**
 * An endpoint, run in a child process, that responds at once (a service) or streams
 * tokens at a constant pace, one per chunk (an engine), at little cost of its own.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { callerPaths } from '../../src/protocol/callers.js'
import { EngineRole, REQUEST_ID_HEADER, type Announcement } from '../../src/protocol/endpoints.js'
import { EndpointKind } from '../../src/protocol/resources.js'
import { chunkEvent, completionOf } from '../../tests/fixtures/testEndpoint.js'
import { serveUsage } from './childProcess.js'

const ANNOUNCE_INTERVAL_MS = 1_000
/** Higher than any size needs, so that no request queues. */
export const MAX_CONCURRENT = 1_000

export interface PacedEndpointOptions {
  entryAddress: string
  pool: 'booking' | 'lm'
  dataCentre: string
  tokensCount: number
  tokenIntervalMs: number
}

export async function runPacedEndpoint (options: PacedEndpointOptions): Promise<void> {
  const server = createServer((incoming, response) => {
    incoming.toArray().then((chunks: Buffer[]) => handleRequest(options, incoming, response, Buffer.concat(chunks)), () => response.destroy())
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.74.1', resolve))
  const { port } = server.address() as AddressInfo
  let sequence = 0
  const announce = async (): Promise<void> => {
    const body = JSON.stringify(announcementOf(options, `http://127.0.74.1:${port}`, ++sequence))
    const reply = await request(`http://${options.entryAddress}${callerPaths.announce}`, { method: 'POST', body })
    await reply.body.dump()
  }
  await announce()
  setInterval(() => { announce().catch(() => {}) }, ANNOUNCE_INTERVAL_MS)
  serveUsage(null, {})
}

function handleRequest (options: PacedEndpointOptions, incoming: IncomingMessage, response: ServerResponse, body: Buffer): void {
  if (options.pool === 'lm') return stream(options, response, body)
  response.writeHead(200, { 'content-type': 'application/json', [REQUEST_ID_HEADER]: incoming.headers[REQUEST_ID_HEADER] ?? '' })
  response.end(JSON.stringify({ path: incoming.url }))
}

function stream ({ tokensCount, tokenIntervalMs }: PacedEndpointOptions, response: ServerResponse, body: Buffer): void {
  const id = completionOf(body).request_id ?? ''
  let sentCount = 0
  const send = (): void => {
    const isLast = sentCount === tokensCount - 1
    response.write(chunkEvent('engine-1', id, sentCount++, ['kaart '], isLast))
    if (!isLast) return
    clearInterval(timer)
    response.end('data: [DONE]\n\n')
  }
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  const timer = setInterval(send, tokenIntervalMs)
  response.on('close', () => clearInterval(timer))
  send()
}

function announcementOf ({ pool, dataCentre }: PacedEndpointOptions, url: string, sequence: number): Announcement {
  return {
    endpointId: 'endpoint-1',
    pool,
    endpointKind: pool === 'lm' ? EndpointKind.Engine : EndpointKind.Service,
    url,
    incarnation: 1,
    sequence,
    dataCentre,
    adapters: [],
    role: EngineRole.Mixed,
    weightVersion: 1,
    load: { runningCount: 0, waitingCount: 0, kvUsedPercent: 0, tokensPerSecond: 0, ageMs: 0 },
    maxConcurrentCount: MAX_CONCURRENT,
    leaving: false
  }
}
