/**
 * Checks outcomes against the executions that the services counted, if the
 * experiment names their records: requests refused as not executed did not run,
 * requests with an idempotency key ran at most once, and answered requests ran.
 */
import { request } from 'undici'
import { z } from 'zod'
import { WorkloadKind, type Experiment } from './experiment.js'
import { servicePath } from './httpRequest.js'
import { InvariantKind, type RequestOutcome } from './requestOutcome.js'
import type { InvariantViolation } from './report.js'

const READ_TIMEOUT_MS = 10_000

/** Body of an execution record: how often each path was executed. */
const recordAnswerSchema = z.object({ executionsByPath: z.record(z.string(), z.int()) })

export type Executions = Map<string, number>

export type RecordsResult = { kind: 'read', byPool: Map<string, Executions> } | { kind: 'unreadable', url: string, reason: string }

/** Reads all records and adds up the executions per pool. */
export async function readRecords (records: Experiment['records']): Promise<RecordsResult> {
  const byPool = new Map<string, Executions>()
  for (const { url, pool } of records) {
    try {
      const answer = await request(url, { signal: AbortSignal.timeout(READ_TIMEOUT_MS) })
      const { executionsByPath } = recordAnswerSchema.parse(await answer.body.json())
      const executions = byPool.get(pool) ?? new Map<string, number>()
      for (const [path, count] of Object.entries(executionsByPath)) executions.set(path, (executions.get(path) ?? 0) + count)
      byPool.set(pool, executions)
    } catch (error) {
      return { kind: 'unreadable', url, reason: (error as Error).message }
    }
  }
  return { kind: 'read', byPool }
}

export interface RecordVerdict {
  checkedCount: number
  broken: InvariantViolation[]
}

export function checkAgainstRecords (outcomes: readonly RequestOutcome[], byPool: Map<string, Executions>): RecordVerdict {
  const verdict: RecordVerdict = { checkedCount: 0, broken: [] }
  for (const outcome of outcomes) {
    const { workload, tag } = outcome.planned
    if (workload.kind !== WorkloadKind.Service) continue
    const executions = byPool.get(workload.pool)
    if (!executions) continue
    verdict.checkedCount++
    const executedCount = executions.get(servicePath(workload, tag)) ?? 0
    const invariant = violatedInvariant(outcome, workload.idempotencyKey, executedCount)
    if (invariant) verdict.broken.push({ invariant, tag, message: `executed ${executedCount} times, last outcome ${outcome.last.kind}` })
  }
  return verdict
}

function violatedInvariant (outcome: RequestOutcome, hasKey: boolean, executedCount: number): InvariantKind | undefined {
  if (hasKey && executedCount > 1) return InvariantKind.RanTwice
  if (outcome.isRefusedAsNotExecuted && executedCount > 0) return InvariantKind.FalseNotRun
  if (outcome.last.kind === 'whole' && executedCount === 0) return InvariantKind.NeverRan
  return undefined
}
