/**
 * A call that goes out at most once, on a connection of its own. The HTTP
 * client is given exactly one socket, which is open already, so it can neither
 * reuse a dying connection nor send the request again by itself; and we know
 * whether a single byte was handed to the socket.
 */
import { connect, type Socket } from 'node:net'
import type { IncomingHttpHeaders } from 'node:http'
import { Client, type buildConnector, type Dispatcher } from 'undici'
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
  /** A longer answer is not taken. */
  maxResponseBytes: number
}

export type OneShotOutcome =
  | { kind: 'answered', status: number, headers: IncomingHttpHeaders, body: Buffer }
  /** No byte of the request left this host. */
  | { kind: 'notSent', message: string }
  /** It may have run. */
  | { kind: 'lost', message: string }

/** @param maySend asked once, in the last moment before the first byte */
export async function callOnce (url: string, request: OneShotRequest, limits: OneShotLimits, progress: Progress, maySend: () => boolean): Promise<OneShotOutcome> {
  const opened = await openSocket(url, progress.before(progress.clock.nowMs() + limits.connectTimeoutMs))
  if (typeof opened === 'string') return { kind: 'notSent', message: opened }
  const dispose = progress.scope.onClose(() => opened.destroy())
  try {
    if (!maySend()) return { kind: 'notSent', message: 'no longer wanted' }
    const raced = await progress.race(exchange(new URL(url).origin, opened, request, limits))
    return raced.kind === 'done' ? raced.value : { kind: 'lost', message: 'no answer in time' }
  } finally {
    dispose()
    opened.destroy()
  }
}

/** The socket, or why there is none. */
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
      return 'the connection did not open in time'
    }
    // Errors that come later are told by the HTTP client.
    socket.on('error', () => {})
    return raced.value
  } catch (error) {
    socket.destroy()
    throw error
  }
}

async function exchange (origin: string, socket: Socket, request: OneShotRequest, { maxResponseBytes: maxAnswerBytes }: OneShotLimits): Promise<OneShotOutcome> {
  const client = new Client(origin, {
    pipelining: 0,
    connect: singleSocketConnector(socket),
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: maxAnswerBytes
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

/** A connector that hands out one socket once; not before it has returned, which the client cannot bear. */
function singleSocketConnector (socket: Socket): buildConnector.connector {
  let isTaken = false
  return (_options, callback) => {
    const isUsable = !isTaken && !socket.destroyed
    isTaken = true
    process.nextTick(() => {
      if (isUsable && !socket.destroyed) callback(null, socket)
      else callback(new Error('the connection has closed'), null)
    })
  }
}
