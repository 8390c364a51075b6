/**
 * What this host was told of requests under which endpoints ended. Several
 * control hosts tell the same; of two notices about a request the newer holds.
 */
import { LRUCache } from 'lru-cache'
import { QuarantineVerdict, type QuarantineNotice } from '../protocol/quarantine.js'

/** As many as a control host keeps. */
const MAX_NOTICES_COUNT = 512

export class KnownQuarantine {
  private readonly _notices = new LRUCache<string, QuarantineNotice>({ max: MAX_NOTICES_COUNT })
  private readonly _listeners = new Set<(notice: QuarantineNotice) => void>()

  /** Calls back for each notice that is news here. */
  onUpdate (listener: (notice: QuarantineNotice) => void): void {
    this._listeners.add(listener)
  }

  merge (notices: readonly QuarantineNotice[]): void {
    for (const notice of notices) {
      const known = this._notices.peek(notice.digest)
      if (known && known.number >= notice.number) continue
      this._notices.set(notice.digest, notice)
      for (const listener of this._listeners) listener(notice)
    }
  }

  get (digest: string): QuarantineNotice | undefined {
    return this._notices.get(digest)
  }

  /** Whether anything at all is suspected or condemned; most of the time nothing is. */
  get isEmpty (): boolean {
    return this._notices.size === 0
  }

  condemnedDigests (): string[] {
    return [...this._notices.values()].filter(({ verdict }) => verdict === QuarantineVerdict.Condemned).map(({ digest }) => digest)
  }
}
