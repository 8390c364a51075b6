/**
 * The notices about quarantined requests that this host has received. Several
 * control hosts send the same notices; of two notices about one request the newer wins.
 */
import { LRUCache } from 'lru-cache'
import { QuarantineVerdict, type QuarantineEntry } from '../protocol/quarantine.js'

/** Number of notices kept, the same as on a control host. */
const MAX_NOTICES_COUNT = 512

export class KnownQuarantine {
  private readonly _notices = new LRUCache<string, QuarantineEntry>({ max: MAX_NOTICES_COUNT })
  private readonly _listeners = new Set<(notice: QuarantineEntry) => void>()

  /** Adds a listener that is called for each notice that is new here. */
  onUpdate (listener: (notice: QuarantineEntry) => void): void {
    this._listeners.add(listener)
  }

  merge (notices: readonly QuarantineEntry[]): void {
    for (const notice of notices) {
      const known = this._notices.peek(notice.digest)
      if (known && known.number >= notice.number) continue
      this._notices.set(notice.digest, notice)
      for (const listener of this._listeners) listener(notice)
    }
  }

  get (digest: string): QuarantineEntry | undefined {
    return this._notices.get(digest)
  }

  /** Whether there are no notices at all, which is the usual case. */
  get isEmpty (): boolean {
    return this._notices.size === 0
  }

  condemnedDigests (): string[] {
    return [...this._notices.values()].filter(({ verdict }) => verdict === QuarantineVerdict.Condemned).map(({ digest }) => digest)
  }
}
