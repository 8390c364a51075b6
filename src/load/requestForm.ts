/**
 * The HTTP form of planned requests.
 */
import { CallerHeader, callerPaths } from '../protocol/callers.js'
import { WorkloadKind, type CompletionWorkload, type ServiceWorkload } from './experiment.js'
import type { PlannedRequest } from './requestOutcome.js'

/** Names the request to the host; answers carry it. */
const REQUEST_ID_HEADER = 'x-request-id'

export interface RequestForm {
  method: 'GET' | 'POST'
  path: string
  headers: Record<string, string>
  body?: string
}

/** The path at the service, which its own record counts by. */
export function servicePath (workload: ServiceWorkload, tag: string): string {
  return `${workload.path.replace(/\/$/, '')}/${tag}`
}

export function formOf (planned: PlannedRequest, remainingMs: number): RequestForm {
  const { workload, caller, tag } = planned
  const headers: Record<string, string> = {
    [CallerHeader.CallerName]: caller,
    [CallerHeader.DeadlineMs]: String(Math.ceil(remainingMs)),
    [REQUEST_ID_HEADER]: tag
  }
  if (workload.priorityClass !== undefined) headers[CallerHeader.PriorityClass] = workload.priorityClass
  switch (workload.kind) {
    case WorkloadKind.Service:
      return serviceForm(workload, tag, headers)
    case WorkloadKind.Completion:
      return completionForm(workload, tag, headers)
  }
}

function serviceForm (workload: ServiceWorkload, tag: string, headers: Record<string, string>): RequestForm {
  const { pool, method, bodyBytes, idempotencyKey } = workload
  if (idempotencyKey) headers[CallerHeader.IdempotencyKey] = tag
  const path = `${callerPaths.services}${pool}${servicePath(workload, tag)}`
  if (method === 'GET') return { method, path, headers }
  headers['content-type'] = 'text/plain'
  return { method, path, headers, body: `${tag} `.padEnd(bodyBytes, 'x') }
}

function completionForm (workload: CompletionWorkload, tag: string, headers: Record<string, string>): RequestForm {
  const { model, stream, maxTokensCount, promptBytes, prefixesCount } = workload
  const prefix = `deck ${lastNumber(tag) % prefixesCount} `.padEnd(promptBytes, 'kaart ')
  headers['content-type'] = 'application/json'
  return {
    method: 'POST',
    path: callerPaths.completions,
    headers,
    body: JSON.stringify({ model, prompt: `${prefix}${tag}`, max_tokens: maxTokensCount, stream, request_id: tag })
  }
}

function lastNumber (tag: string): number {
  return Number(/\d+$/.exec(tag)?.[0] ?? 0)
}
