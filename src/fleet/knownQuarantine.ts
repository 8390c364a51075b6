/**
 * The notices about quarantined requests that this host has received. Several
 * control hosts send the same notices; of two notices about one request the newer wins.
 */
import { LRUCache } from 'lru-cache'
import { QuarantineVerdict, type QuarantineEntry } from '../protocol/quarantine.js'

/** Number of notices kept, the same as on a control host. */
const MAX_ENTRIES_COUNT = 512

export class KnownQuarantine {
  private readonly _entries = new LRUCache<string, QuarantineEntry>({ max: MAX_ENTRIES_COUNT })
  private readonly _listeners = new Set<(entry: QuarantineEntry) => void>()

  /** Adds a listener that is called for each entry that is new here. */
  onUpdate (listener: (entry: QuarantineEntry) => void): void {
    this._listeners.add(listener)
  }

  merge (entries: readonly QuarantineEntry[]): void {
    for (const entry of entries) {
      const known = this._entries.peek(entry.digest)
      if (known && known.number >= entry.number) continue
      this._entries.set(entry.digest, entry)
      for (const listener of this._listeners) listener(entry)
    }
  }

  get (digest: string): QuarantineEntry | undefined {
    return this._entries.get(digest)
  }

  /** Whether there are no entries at all, which is the usual case. */
  get isEmpty (): boolean {
    return this._entries.size === 0
  }

  condemnedDigests (): string[] {
    return [...this._entries.values()].filter(({ verdict }) => verdict === QuarantineVerdict.Condemned).map(({ digest }) => digest)
  }
}
