/**
 * The HTTP server of all stand-ins: routes by method and path prefix, JSON
 * bodies, and graceful or abrupt shutdown.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { parseAddress } from '../src/utils/settings.js'

export interface StandInExchange {
  request: IncomingMessage
  response: ServerResponse
  path: string
  query: URLSearchParams
}

export type StandInHandler = (exchange: StandInExchange) => Promise<void> | void

interface StandInRoute {
  method: string
  pathPrefix: string
  handler: StandInHandler
}

const KEEP_ALIVE_MS = 30_000

export class StandInServer {
  private readonly _routes: StandInRoute[] = []
  private readonly _server: Server
  private _address = ''

  constructor () {
    this._server = createServer((request, response) => this._dispatch(request, response))
    this._server.keepAliveTimeout = KEEP_ALIVE_MS
  }

  /** `ip:port` once listening; empty before. */
  get address (): string {
    return this._address
  }

  get url (): string {
    return `http://${this._address}`
  }

  /** Routes are matched by prefix, in the order in which they were added. */
  on (method: string, pathPrefix: string, handler: StandInHandler): void {
    this._routes.push({ method, pathPrefix, handler })
  }

  /** @param address `ip:port`; port 0 picks a free port */
  async listen (address: string): Promise<void> {
    const { host, port } = parseAddress(address)
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, resolve)
    })
    const bound = this._server.address() as AddressInfo
    this._address = `${bound.address}:${bound.port}`
  }

  /** Stops listening and waits for open requests to complete. */
  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    this._server.closeIdleConnections()
    await closed
  }

  /** Closes every connection abruptly and keeps listening. */
  closeConnections (): void {
    this._server.closeAllConnections()
  }

  /** Stops listening and closes every connection abruptly, as a crash does. */
  async kill (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    this._server.closeAllConnections()
    await closed
  }

  private _dispatch (request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://stand-in')
    const route = this._routes.find(({ method, pathPrefix }) =>
      (method === '*' || method === request.method) && url.pathname.startsWith(pathPrefix))
    if (!route) return sendJson(response, 404, { message: `no route for ${request.method} ${url.pathname}` })
    const exchange = { request, response, path: url.pathname, query: url.searchParams }
    Promise.resolve(route.handler(exchange)).catch((error: unknown) => {
      if (!response.headersSent) sendJson(response, 400, { message: String(error) })
      else response.destroy()
    })
  }
}

export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

export async function readJson (request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request)
  return body.length > 0 ? JSON.parse(body.toString('utf8')) : {}
}

export function sendJson (response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}
