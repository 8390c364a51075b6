/**
 * A call to a plain service, and the rules for forwarding its headers and
 * classifying its method and response.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { CallerHeader } from '../../protocol/callers.js'
import { NOT_EXECUTED_HEADER } from '../../protocol/endpoints.js'
import type { WorkItem } from '../scheduling/scheduler.js'

export interface ServiceCall {
  item: WorkItem
  method: string
  /** Path at the service, including the query string. */
  path: string
  headers: IncomingHttpHeaders
  body: Buffer
}

const SERVICE_UNAVAILABLE = 503

/** Hop-by-hop headers, and headers that this host sets itself. */
const unforwardedHeaders = new Set<string>([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'host', 'content-length', CallerHeader.DeadlineMs, CallerHeader.RequestId
])

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS'])
const idempotentMethods = new Set([...safeMethods, 'PUT', 'DELETE'])

/** Whether HTTP defines the method as safe, i.e. read-only. */
export function isSafe (method: string): boolean {
  return safeMethods.has(method)
}

/** Whether HTTP defines the method as idempotent, so that a retry is allowed. */
export function isIdempotent (method: string): boolean {
  return idempotentMethods.has(method)
}

/** Returns the request headers to send to the endpoint, with the attempt id and the remaining time in ms. */
export function requestHeaders (call: ServiceCall, attemptId: string, remainingMs: number): Record<string, string> {
  const headers = forwardableHeaders(call.headers)
  headers[CallerHeader.RequestId] = attemptId
  headers[CallerHeader.DeadlineMs] = String(Math.max(1, Math.floor(remainingMs)))
  return headers
}

/** Returns the response headers to forward to the caller. */
export function responseHeaders (headers: IncomingHttpHeaders): Record<string, string> {
  return forwardableHeaders(headers)
}

/** Whether the endpoint reports, with status 503 and the agreed header, that the call was not run. */
export function isNotExecuted (status: number, headers: IncomingHttpHeaders): boolean {
  return status === SERVICE_UNAVAILABLE && headers[NOT_EXECUTED_HEADER] !== undefined
}

export enum Echo {
  /** The response carries the id of this attempt. */
  Same = 'same',
  /** The response carries no attempt id. */
  None = 'none',
  /** The response carries the id of another attempt. */
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
