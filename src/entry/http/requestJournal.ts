/**
 * A bounded log of the recent requests of this host and of their attempts, for
 * `threaddrum explain`. The least recently used entry is evicted first.
 */
import { LRUCache } from 'lru-cache'
import type { Progress } from '../../utils/progress.js'

const MAX_REQUESTS_COUNT = 2_000

export interface JournalEntry {
  requestId: string
  route: string
  startedAtMs: number
  /** Log lines of the request's attempts, oldest first. */
  callLog: readonly string[]
}

interface JournaledRequest {
  route: string
  startedAtMs: number
  progress: Progress
}

export class RequestJournal {
  private readonly _requests = new LRUCache<string, JournaledRequest>({ max: MAX_REQUESTS_COUNT })
  private readonly _attempts = new LRUCache<string, string>({ max: MAX_REQUESTS_COUNT })

  /** @param startedAtMs milliseconds of the Unix epoch */
  add (requestId: string, route: string, startedAtMs: number, progress: Progress): void {
    this._requests.set(requestId, { route, startedAtMs, progress })
  }

  /** Makes a request searchable by the id of one of its attempts. */
  addAttempt (attemptId: string, requestId: string): void {
    this._attempts.set(attemptId, requestId)
  }

  find (id: string): JournalEntry | undefined {
    const requestId = this._attempts.get(id) ?? id
    const found = this._requests.get(requestId)
    if (!found) return undefined
    return { requestId, route: found.route, startedAtMs: found.startedAtMs, callLog: found.progress.callLog }
  }
}
