/**
 * The part of the replicated state that knows under which requests endpoints
 * ended. Three ends may be seen by three hosts, so they are counted here, and
 * every control host that has applied the third one tells its followers.
 *
 * What ran beside a deadly request shares its ends. An end that a condemned
 * request explains does not count against another, unless all ends of the other
 * are among them: then nothing tells the two apart, and both are held back.
 */
import { CONDEMNING_ENDS_COUNT, QUARANTINE_MS, QuarantineVerdict, type EndedEndpoint, type QuarantineNotice } from '../../protocol/quarantine.js'

/** Requests that are remembered, some 150 bytes each. Most suspects never come again. */
const MAX_SUSPECTS_COUNT = 1_024
/** Notices that a host which connects anew is told. */
const MAX_NOTICES_COUNT = 512
/** Ends of one request that are told apart. */
const MAX_KEPT_ENDS_COUNT = 16
/** With one end a request may have been anywhere; from the second on all hosts hear of it. */
const TOLD_FROM_ENDS_COUNT = 2

interface Suspect {
  digest: string
  endpointIds: string[]
  endedAtMs: number
  /** How many had come to as many ends as condemn before this one; absent while it has fewer. */
  condemnedAtCount?: number
}

export interface NotedEndsSnapshot {
  suspects: Suspect[]
  notices: QuarantineNotice[]
  lastNumber: number
  condemnedCount: number
}

export class NotedEnds {
  /** By digest, the one whose last end is longest ago first. */
  private _suspects = new Map<string, Suspect>()
  /** The newest about each request, by number. */
  private _notices = new Map<string, QuarantineNotice>()
  private _lastNumber = 0
  private _condemnedCount = 0

  get lastNumber (): number {
    return this._lastNumber
  }

  /** Told again, also by another host that ran the request there, an end counts once. */
  note (ends: readonly EndedEndpoint[], atMs: number): void {
    for (const { endpointId, digests } of ends) {
      for (const digest of digests) this._noteEnd(digest, endpointId, atMs)
    }
    this._judgeAll()
  }

  /** Requests that an endpoint answered, or that an operator lets go. */
  clear (digests: readonly string[], atMs: number): void {
    for (const digest of digests) {
      if (this._suspects.delete(digest)) this._tell({ digest, verdict: QuarantineVerdict.Cleared, endpointIds: [], endedAtMs: atMs })
    }
    this._judgeAll()
  }

  /** Notices after that number, in order. */
  since (number: number): QuarantineNotice[] {
    return [...this._notices.values()].filter(notice => notice.number > number)
  }

  /** What is suspected or condemned at the moment, the latest last. */
  all (): QuarantineNotice[] {
    return this.since(0).filter(({ verdict }) => verdict !== QuarantineVerdict.Cleared)
  }

  snapshot (): NotedEndsSnapshot {
    return { suspects: [...this._suspects.values()], notices: this.since(0), lastNumber: this._lastNumber, condemnedCount: this._condemnedCount }
  }

  restore ({ suspects, notices, lastNumber, condemnedCount }: NotedEndsSnapshot): void {
    this._suspects = new Map(suspects.map(suspect => [suspect.digest, suspect]))
    this._notices = new Map(notices.map(notice => [notice.digest, notice]))
    this._lastNumber = lastNumber
    this._condemnedCount = condemnedCount
  }

  private _noteEnd (digest: string, endpointId: string, atMs: number): void {
    const known = this._suspects.get(digest)
    if (known?.endpointIds.includes(endpointId)) return
    // One that was condemned once is so again by its next end.
    const isForgotten = known !== undefined && !this._isCondemned(known) && atMs - known.endedAtMs > QUARANTINE_MS
    const suspect: Suspect = known && !isForgotten ? known : { digest, endpointIds: [], endedAtMs: atMs }
    const endpointIds = [...suspect.endpointIds, endpointId].slice(-MAX_KEPT_ENDS_COUNT)
    const condemnedAtCount = suspect.condemnedAtCount ?? (endpointIds.length >= CONDEMNING_ENDS_COUNT ? this._condemnedCount++ : undefined)
    this._suspects.delete(digest)
    this._suspects.set(digest, { digest, endpointIds, endedAtMs: atMs, condemnedAtCount })
    this._dropOldest()
  }

  private _judgeAll (): void {
    for (const suspect of this._suspects.values()) {
      if (suspect.endpointIds.length >= TOLD_FROM_ENDS_COUNT) this._judge(suspect)
    }
  }

  private _judge (suspect: Suspect): void {
    const { digest, endpointIds, endedAtMs } = suspect
    const verdict = this._isCondemned(suspect) ? QuarantineVerdict.Condemned : QuarantineVerdict.Suspected
    const told = this._notices.get(digest)
    if (told?.verdict === verdict && told.endpointIds.length === endpointIds.length && told.endedAtMs === endedAtMs) return
    this._tell({ digest, verdict, endpointIds, endedAtMs })
  }

  private _isCondemned (suspect: Suspect): boolean {
    if (suspect.condemnedAtCount === undefined) return false
    return ![...this._suspects.values()].some(other => other !== suspect && explains(other, suspect))
  }

  private _tell (notice: Omit<QuarantineNotice, 'number'>): void {
    this._notices.delete(notice.digest)
    this._notices.set(notice.digest, { ...notice, number: ++this._lastNumber })
    const [oldest] = this._notices.keys()
    if (this._notices.size > MAX_NOTICES_COUNT && oldest !== undefined) this._notices.delete(oldest)
  }

  /** What was condemned outlasts what was only beside it. */
  private _dropOldest (): void {
    if (this._suspects.size <= MAX_SUSPECTS_COUNT) return
    const suspects = [...this._suspects.values()]
    const oldest = suspects.find(({ endpointIds }) => endpointIds.length < CONDEMNING_ENDS_COUNT) ?? suspects[0]
    if (oldest) this._suspects.delete(oldest.digest)
  }
}

/**
 * Whether another request accounts for the ends of one: it has all of them and
 * more, or it has as many, came to those that condemn it earlier, and what the one
 * has besides is too little. With the very same ends the two cannot be told apart.
 */
function explains (other: Suspect, suspect: Suspect): boolean {
  if (other.condemnedAtCount === undefined || suspect.condemnedAtCount === undefined) return false
  const ownCount = suspect.endpointIds.filter(endpointId => !other.endpointIds.includes(endpointId)).length
  if (ownCount === 0) return other.endpointIds.length > suspect.endpointIds.length
  const sharesMost = suspect.endpointIds.length - ownCount >= CONDEMNING_ENDS_COUNT - 1 && ownCount < CONDEMNING_ENDS_COUNT
  return sharesMost && other.endpointIds.length >= suspect.endpointIds.length && other.condemnedAtCount < suspect.condemnedAtCount
}
