/**
 * Puts a leader's snapshot together from its pieces. A piece that is not the
 * next one is answered by the position expected.
 */
import { decodeSnapshot, type Snapshot } from '../storage/snapshotFile.js'
import type { SnapshotRequest } from './raftMethods.js'

export type ReceiveOutcome =
  | { kind: 'incomplete', offsetBytes: number }
  | { kind: 'complete', snapshot: Snapshot, bytes: Uint8Array }

export class SnapshotReceiver {
  private _lastIndex = -1
  private _term = -1
  private _pieces: Uint8Array[] = []
  private _receivedBytes = 0

  receive (request: SnapshotRequest): ReceiveOutcome {
    if (request.lastIndex !== this._lastIndex || request.term !== this._term) this._begin(request)
    if (request.offsetBytes !== this._receivedBytes) return { kind: 'incomplete', offsetBytes: this._receivedBytes }
    this._pieces.push(Uint8Array.from(request.bytes))
    this._receivedBytes += request.bytes.length
    if (this._receivedBytes < request.totalBytes) return { kind: 'incomplete', offsetBytes: this._receivedBytes }
    const bytes = Buffer.concat(this._pieces)
    const snapshot = decodeSnapshot(bytes)
    this._begin(request)
    return snapshot ? { kind: 'complete', snapshot, bytes } : { kind: 'incomplete', offsetBytes: 0 }
  }

  private _begin (request: SnapshotRequest): void {
    this._lastIndex = request.lastIndex
    this._term = request.term
    this._pieces = []
    this._receivedBytes = 0
  }
}
