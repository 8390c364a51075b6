/**
 * Builds the HTTP requests for planned requests.
 */
import { CallerHeader, callerPaths } from '../protocol/callers.js'
import { WorkloadKind, type CompletionWorkload, type ServiceWorkload } from './experiment.js'
import type { PlannedRequest } from './requestOutcome.js'

/** Carries the id of the request; answers repeat it. */
const REQUEST_ID_HEADER = 'x-request-id'

export interface HttpRequest {
  method: 'GET' | 'POST'
  path: string
  headers: Record<string, string>
  body?: string
}

/** Path of the request at the service, by which its execution record counts. */
export function servicePath (workload: ServiceWorkload, tag: string): string {
  return `${workload.path.replace(/\/$/, '')}/${tag}`
}

export function buildHttpRequest (planned: PlannedRequest, remainingMs: number): HttpRequest {
  const { workload, caller, tag } = planned
  const headers: Record<string, string> = {
    [CallerHeader.CallerName]: caller,
    [CallerHeader.DeadlineMs]: String(Math.ceil(remainingMs)),
    [REQUEST_ID_HEADER]: tag
  }
  if (workload.priorityClass !== undefined) headers[CallerHeader.PriorityClass] = workload.priorityClass
  switch (workload.kind) {
    case WorkloadKind.Service:
      return buildServiceRequest(workload, tag, headers)
    case WorkloadKind.Completion:
      return buildCompletionRequest(workload, tag, headers)
  }
}

function buildServiceRequest (workload: ServiceWorkload, tag: string, headers: Record<string, string>): HttpRequest {
  const { pool, method, bodyBytes, idempotencyKey } = workload
  if (idempotencyKey) headers[CallerHeader.IdempotencyKey] = tag
  const path = `${callerPaths.services}${pool}${servicePath(workload, tag)}`
  if (method === 'GET') return { method, path, headers }
  headers['content-type'] = 'text/plain'
  return { method, path, headers, body: `${tag} `.padEnd(bodyBytes, 'x') }
}

function buildCompletionRequest (workload: CompletionWorkload, tag: string, headers: Record<string, string>): HttpRequest {
  const { model, stream, maxTokensCount, promptBytes, prefixesCount } = workload
  const prefix = `deck ${sequenceNumberOf(tag) % prefixesCount} `.padEnd(promptBytes, 'kaart ')
  headers['content-type'] = 'application/json'
  return {
    method: 'POST',
    path: callerPaths.completions,
    headers,
    body: JSON.stringify({ model, prompt: `${prefix}${tag}`, max_tokens: maxTokensCount, stream, request_id: tag })
  }
}

function sequenceNumberOf (tag: string): number {
  return Number(/\d+$/.exec(tag)?.[0] ?? 0)
}
