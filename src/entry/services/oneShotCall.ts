/**
 * Sends a request at most once, on a dedicated connection. The HTTP client
 * gets exactly one socket that is already open, so it can neither reuse a
 * closing connection nor retry on its own, and the socket's byte counter tells
 * whether any byte of the request was written.
 */
import { connect, type Socket } from 'node:net'
import type { IncomingHttpHeaders } from 'node:http'
import { Client, type buildConnector, type Dispatcher } from 'undici'
import { failOnReset } from '../../utils/httpConnector.js'
import type { Progress } from '../../utils/progress.js'

const HTTP_PORT = 80

export interface OneShotRequest {
  method: Dispatcher.HttpMethod
  path: string
  headers: Record<string, string>
  body: Buffer
}

export interface OneShotLimits {
  connectTimeoutMs: number
  /** A larger response body fails the call. */
  maxResponseBytes: number
}

export type OneShotOutcome =
  | { kind: 'answered', status: number, headers: IncomingHttpHeaders, body: Buffer }
  /** No byte of the request was written to the socket. */
  | { kind: 'notSent', message: string }
  /** The request was sent in part or in full, so the endpoint may have run it. */
  | { kind: 'lost', message: string }

/**
 * Sends the request and waits for the response until the deadline of `progress`.
 * @param maySend called once, after the connection opens and before the first byte is written
 */
export async function callOnce (url: string, request: OneShotRequest, limits: OneShotLimits, progress: Progress, maySend: () => boolean): Promise<OneShotOutcome> {
  const opened = await openSocket(url, progress.withDeadline(progress.clock.nowMs() + limits.connectTimeoutMs))
  if (typeof opened === 'string') return { kind: 'notSent', message: opened }
  const dispose = progress.scope.onClose(() => opened.destroy())
  try {
    if (!maySend()) return { kind: 'notSent', message: 'the caller no longer waits for the response' }
    const raced = await progress.race(exchange(new URL(url).origin, opened, request, limits))
    return raced.kind === 'done' ? raced.value : { kind: 'lost', message: 'no response before the deadline' }
  } finally {
    dispose()
    opened.destroy()
  }
}

/** Returns the connected socket, or the error message if the connection failed. */
async function openSocket (url: string, progress: Progress): Promise<Socket | string> {
  const { hostname, port } = new URL(url)
  const socket = connect({ host: hostname, port: port === '' ? HTTP_PORT : Number(port), noDelay: true })
  const opened = new Promise<Socket | string>(resolve => {
    socket.once('connect', () => resolve(socket))
    socket.once('error', error => resolve(error.message))
  })
  try {
    const raced = await progress.race(opened)
    if (raced.kind === 'deadlinePassed') {
      socket.destroy()
      return 'timed out while connecting'
    }
    // The HTTP client reports later errors; this listener keeps them from being thrown as unhandled.
    socket.on('error', () => {})
    failOnReset(socket)
    return raced.value
  } catch (error) {
    socket.destroy()
    throw error
  }
}

async function exchange (origin: string, socket: Socket, request: OneShotRequest, { maxResponseBytes }: OneShotLimits): Promise<OneShotOutcome> {
  const client = new Client(origin, {
    pipelining: 0,
    connect: singleSocketConnector(socket),
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: maxResponseBytes
  })
  try {
    const { statusCode, headers, body } = await client.request({ ...request, body: request.body.length > 0 ? request.body : null, reset: true })
    return { kind: 'answered', status: statusCode, headers, body: Buffer.from(await body.arrayBuffer()) }
  } catch (error) {
    const { message } = error as Error
    return socket.bytesWritten === 0 ? { kind: 'notSent', message } : { kind: 'lost', message }
  } finally {
    client.destroy().catch(() => {})
  }
}

/**
 * Returns a connector that supplies the given socket once and fails afterwards.
 * It calls back on the next tick because undici does not support a connector
 * that calls back synchronously.
 */
function singleSocketConnector (socket: Socket): buildConnector.connector {
  let isUsed = false
  return (_options, callback) => {
    const isUsable = !isUsed && !socket.destroyed
    isUsed = true
    process.nextTick(() => {
      if (isUsable && !socket.destroyed) callback(null, socket)
      else callback(new Error('the connection was closed or already used'), null)
    })
  }
}
