/**
 * What a call to a plain service is made of, and which headers go along.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { CallerHeader } from '../../protocol/callers.js'
import { NOT_EXECUTED_HEADER } from '../../protocol/endpoints.js'
import type { WorkItem } from '../scheduling/scheduler.js'

export interface ServiceCall {
  item: WorkItem
  method: string
  /** Path at the service, with its query. */
  path: string
  headers: IncomingHttpHeaders
  body: Buffer
}

const SERVICE_UNAVAILABLE = 503

/** Headers that belong to one connection, or that this host sets itself. */
const unforwardedHeaders = new Set<string>([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'host', 'content-length', CallerHeader.DeadlineMs, CallerHeader.RequestId
])

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS'])
const idempotentMethods = new Set([...safeMethods, 'PUT', 'DELETE'])

/** Whether a call of this method changes nothing, by the meaning of HTTP. */
export function isSafe (method: string): boolean {
  return safeMethods.has(method)
}

/** Whether a call of this method may run twice, by the meaning of HTTP. */
export function isIdempotent (method: string): boolean {
  return idempotentMethods.has(method)
}

/** Headers of the call as the endpoint gets them. */
export function requestHeaders (call: ServiceCall, attemptId: string, remainingMs: number): Record<string, string> {
  const headers = forwardableHeaders(call.headers)
  headers[CallerHeader.RequestId] = attemptId
  headers[CallerHeader.DeadlineMs] = String(Math.max(1, Math.floor(remainingMs)))
  return headers
}

/** Headers of the answer as the caller gets them. */
export function responseHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return forwardableHeaders(headers)
}

/** The endpoint's documented word that it did not run the call. */
export function isNotExecuted (status: number, headers: IncomingHttpHeaders): boolean {
  return status === SERVICE_UNAVAILABLE && headers[NOT_EXECUTED_HEADER] !== undefined
}

export enum Echo {
  /** The endpoint repeated the id of the try. */
  Same = 'same',
  /** It says nothing. */
  None = 'none',
  /** It answered some other try. */
  Other = 'other'
}

export function echoOf (headers: IncomingHttpHeaders, attemptId: string): Echo {
  const echoed = headers[CallerHeader.RequestId]
  if (echoed === undefined) return Echo.None
  return echoed === attemptId ? Echo.Same : Echo.Other
}

function forwardableHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  const dropped = new Set((headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  const forwarded: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || unforwardedHeaders.has(name) || dropped.has(name)) continue
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return forwarded
}
