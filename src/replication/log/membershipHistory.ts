/**
 * The members at each point of the log. A change takes effect as soon as its
 * entry is in the log, committed or not, and is undone when the entry is
 * truncated.
 */
import { Decoder, Encoder } from 'cbor-x'
import { z } from 'zod'
import { invariant } from '../../utils/errors.js'
import { EntryKind, type LogEntry } from './logEntry.js'
import { memberSchema, type Member } from './members.js'

/** The payload of a membership entry. */
export const membershipSchema = z.object({
  clusterId: z.string(),
  members: z.array(memberSchema)
})
export type Membership = z.infer<typeof membershipSchema>

const encoder = new Encoder({ useRecords: false })
const decoder = new Decoder({ useRecords: false })

export function encodeMembership (membership: Membership): Uint8Array {
  return Uint8Array.from(encoder.encode(membership))
}

export function decodeMembership (payload: Uint8Array): Membership {
  const parsed = membershipSchema.safeParse(decoder.decode(payload))
  invariant(parsed.success, 'malformed membership entry')
  return parsed.data
}

interface Change {
  index: number
  members: Member[]
}

export class MembershipHistory {
  private _changes: Change[]
  private _onChanged: () => void = () => {}

  /** @param members members in the snapshot at the index */
  constructor (index: number, members: Member[]) {
    this._changes = [{ index, members }]
  }

  get latest (): Member[] {
    return this._changes.at(-1)?.members ?? []
  }

  /** Index of the entry that made the latest change. */
  get latestIndex (): number {
    return this._changes.at(-1)?.index ?? 0
  }

  /** The members as of an entry; the entry must not be compacted away. */
  at (index: number): Member[] {
    return this._changes.findLast(change => change.index <= index)?.members ?? []
  }

  /** @param onChanged called whenever the latest members change */
  watch (onChanged: () => void): void {
    this._onChanged = onChanged
  }

  record (entry: LogEntry): void {
    if (entry.kind !== EntryKind.Membership) return
    this._changes.push({ index: entry.index, members: decodeMembership(entry.payload).members })
    this._onChanged()
  }

  truncateFrom (index: number): void {
    const kept = this._changes.filter((change, position) => position === 0 || change.index < index)
    const isCut = kept.length < this._changes.length
    this._changes = kept
    if (isCut) this._onChanged()
  }

  compactTo (index: number): void {
    const members = this.at(index)
    this._changes = [{ index, members }, ...this._changes.filter(change => change.index > index)]
  }

  reset (index: number, members: Member[]): void {
    this._changes = [{ index, members }]
    this._onChanged()
  }
}
