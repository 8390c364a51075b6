/**
 * What this host remembers of its recent requests, for `threaddrum explain`:
 * why each went where it did. Bounded; the oldest is forgotten first.
 */
import { LRUCache } from 'lru-cache'
import type { Progress } from '../../utils/progress.js'

const MAX_REQUESTS_COUNT = 2_000

export interface JournalEntry {
  requestId: string
  route: string
  startedAtMs: number
  /** What was tried, oldest first. */
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

  /** Makes an attempt of a request known by its own id too. */
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
