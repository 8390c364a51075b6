/**
 * Replicated state of the quarantine: which requests were running on endpoints
 * when these endpoints ended. Three ends of one request may be seen by three
 * different hosts, so ends are counted in the replicated state, and every control
 * host that applies the third end notifies its followers.
 *
 * Requests that ran at the same time as a request that ends endpoints share that
 * request's ends. An end that a condemned request accounts for does not count against
 * another request, unless all ends of the other are among the ends of the condemned
 * request: then the two cannot be told apart, and both are withheld.
 */
import { QUARANTINE_THRESHOLD_COUNT, QUARANTINE_MS, QuarantineVerdict, type EndedEndpoint, type QuarantineEntry } from '../../protocol/quarantine.js'

/** Limit of recorded requests, about 150 bytes each. Most suspected requests are never sent again. */
const MAX_SUSPECTS_COUNT = 1_024
/** Limit of entries that are kept for hosts that connect later. */
const MAX_ENTRIES_COUNT = 512
/** Limit of recorded ends for one request. */
const MAX_RECORDED_ENDS_COUNT = 16
/** A single end is weak evidence: a request is published to all hosts from its second end on. */
const MIN_PUBLISHED_ENDS_COUNT = 2

interface Suspect {
  digest: string
  endpointIds: string[]
  endedAtMs: number
  /** How many requests reached `QUARANTINE_THRESHOLD_COUNT` ends before this one; absent while this one has fewer. */
  condemnedAtCount?: number
}

export interface QuarantineSnapshot {
  suspects: Suspect[]
  notices: QuarantineEntry[]
  lastNumber: number
  condemnedCount: number
}

export class QuarantineState {
  /** By digest; the request with the least recent end comes first. */
  private _suspects = new Map<string, Suspect>()
  /** The newest entry about each request, by digest, in the order of their numbers. */
  private _entries = new Map<string, QuarantineEntry>()
  private _lastNumber = 0
  private _condemnedCount = 0

  get lastNumber (): number {
    return this._lastNumber
  }

  /** Records ends of endpoints. The end of an endpoint counts once for each request, even if several hosts report it. */
  record (ends: readonly EndedEndpoint[], atMs: number): void {
    for (const { endpointId, digests } of ends) {
      for (const digest of digests) this._recordEnd(digest, endpointId, atMs)
    }
    this._updateVerdicts()
  }

  /** Clears requests that an endpoint has answered, or that an operator has released. */
  clear (digests: readonly string[], atMs: number): void {
    for (const digest of digests) {
      if (this._suspects.delete(digest)) this._publish({ digest, verdict: QuarantineVerdict.Cleared, endpointIds: [], endedAtMs: atMs })
    }
    this._updateVerdicts()
  }

  /** Entries with a higher number, in order. */
  since (number: number): QuarantineEntry[] {
    return [...this._entries.values()].filter(entry => entry.number > number)
  }

  /** Entries of all requests that are suspected or condemned now, the latest last. */
  all (): QuarantineEntry[] {
    return this.since(0).filter(({ verdict }) => verdict !== QuarantineVerdict.Cleared)
  }

  snapshot (): QuarantineSnapshot {
    return { suspects: [...this._suspects.values()], notices: this.since(0), lastNumber: this._lastNumber, condemnedCount: this._condemnedCount }
  }

  restore ({ suspects, notices, lastNumber, condemnedCount }: QuarantineSnapshot): void {
    this._suspects = new Map(suspects.map(suspect => [suspect.digest, suspect]))
    this._entries = new Map(notices.map(entry => [entry.digest, entry]))
    this._lastNumber = lastNumber
    this._condemnedCount = condemnedCount
  }

  private _recordEnd (digest: string, endpointId: string, atMs: number): void {
    const known = this._suspects.get(digest)
    if (known?.endpointIds.includes(endpointId)) return
    // The ends of a condemned request do not expire, so one more end condemns it again.
    const isForgotten = known !== undefined && !this._isCondemned(known) && atMs - known.endedAtMs > QUARANTINE_MS
    const suspect: Suspect = known && !isForgotten ? known : { digest, endpointIds: [], endedAtMs: atMs }
    const endpointIds = [...suspect.endpointIds, endpointId].slice(-MAX_RECORDED_ENDS_COUNT)
    const condemnedAtCount = suspect.condemnedAtCount ?? (endpointIds.length >= QUARANTINE_THRESHOLD_COUNT ? this._condemnedCount++ : undefined)
    this._suspects.delete(digest)
    this._suspects.set(digest, { digest, endpointIds, endedAtMs: atMs, condemnedAtCount })
    this._evictOldest()
  }

  private _updateVerdicts (): void {
    for (const suspect of this._suspects.values()) {
      if (suspect.endpointIds.length >= MIN_PUBLISHED_ENDS_COUNT) this._updateVerdict(suspect)
    }
  }

  private _updateVerdict (suspect: Suspect): void {
    const { digest, endpointIds, endedAtMs } = suspect
    const verdict = this._isCondemned(suspect) ? QuarantineVerdict.Condemned : QuarantineVerdict.Suspected
    const published = this._entries.get(digest)
    if (published?.verdict === verdict && published.endpointIds.length === endpointIds.length && published.endedAtMs === endedAtMs) return
    this._publish({ digest, verdict, endpointIds, endedAtMs })
  }

  private _isCondemned (suspect: Suspect): boolean {
    if (suspect.condemnedAtCount === undefined) return false
    return ![...this._suspects.values()].some(other => other !== suspect && accountsFor(other, suspect))
  }

  private _publish (entry: Omit<QuarantineEntry, 'number'>): void {
    this._entries.delete(entry.digest)
    this._entries.set(entry.digest, { ...entry, number: ++this._lastNumber })
    const [oldest] = this._entries.keys()
    if (this._entries.size > MAX_ENTRIES_COUNT && oldest !== undefined) this._entries.delete(oldest)
  }

  /** Evicts requests below the condemning count first, so that condemned ones stay longest. */
  private _evictOldest (): void {
    if (this._suspects.size <= MAX_SUSPECTS_COUNT) return
    const suspects = [...this._suspects.values()]
    const oldest = suspects.find(({ endpointIds }) => endpointIds.length < QUARANTINE_THRESHOLD_COUNT) ?? suspects[0]
    if (oldest) this._suspects.delete(oldest.digest)
  }
}

/**
 * Whether another request accounts for the ends of a suspect: either it has all of
 * them and more, or it has at least as many, reached the condemning count earlier,
 * and the suspect's remaining ends are too few to condemn it. If both have exactly
 * the same ends, neither accounts for the other.
 */
function accountsFor (other: Suspect, suspect: Suspect): boolean {
  if (other.condemnedAtCount === undefined || suspect.condemnedAtCount === undefined) return false
  const ownCount = suspect.endpointIds.filter(endpointId => !other.endpointIds.includes(endpointId)).length
  if (ownCount === 0) return other.endpointIds.length > suspect.endpointIds.length
  const sharesMost = suspect.endpointIds.length - ownCount >= QUARANTINE_THRESHOLD_COUNT - 1 && ownCount < QUARANTINE_THRESHOLD_COUNT
  return sharesMost && other.endpointIds.length >= suspect.endpointIds.length && other.condemnedAtCount < suspect.condemnedAtCount
}
