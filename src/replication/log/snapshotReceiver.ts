/**
 * Assembles a leader's snapshot on disk from the chunks it sends, one call at a
 * time. A chunk other than the next one is answered with the expected offset.
 */
import { DiskFullError } from '../../utils/errors.js'
import type { IncomingSnapshot } from '../storage/incomingSnapshot.js'
import type { ReplicaStorage } from '../storage/replicaStorage.js'
import type { Snapshot } from '../storage/snapshotFile.js'
import type { SnapshotRequest } from './raftMethods.js'

export type ReceiveOutcome =
  | { kind: 'incomplete', offsetBytes: number }
  /** The disk has no space for the chunk at the offset. */
  | { kind: 'full', offsetBytes: number, reason: string }
  /** The snapshot is on disk; it must be installed or discarded. */
  | { kind: 'complete', snapshot: Snapshot }

interface Transfer {
  lastIndex: number
  term: number
  incoming: IncomingSnapshot
}

export class SnapshotReceiver {
  private readonly _storage: ReplicaStorage
  private readonly _mapPiece: (piece: unknown) => unknown
  private _transfer: Transfer | undefined
  private _lastCall: Promise<unknown> = Promise.resolve()

  /** @param mapPiece maps each piece of the state to the value that is kept */
  constructor (storage: ReplicaStorage, mapPiece: (piece: unknown) => unknown) {
    this._storage = storage
    this._mapPiece = mapPiece
  }

  /** Calls take effect in the order of their arrival, even if the leader has stopped waiting for an earlier one. */
  receive (request: SnapshotRequest): Promise<ReceiveOutcome> {
    const call = this._lastCall.then(() => this._receive(request))
    this._lastCall = call.catch(() => {})
    return call
  }

  private async _receive (request: SnapshotRequest): Promise<ReceiveOutcome> {
    try {
      return await this._appendChunk(request)
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error
      return { kind: 'full', offsetBytes: this._transfer?.incoming.receivedBytes ?? 0, reason: error.message }
    }
  }

  private async _appendChunk (request: SnapshotRequest): Promise<ReceiveOutcome> {
    const { incoming } = await this._transferFor(request)
    if (request.offsetBytes !== incoming.receivedBytes) return { kind: 'incomplete', offsetBytes: incoming.receivedBytes }
    await incoming.append(request.bytes)
    if (incoming.receivedBytes < request.totalBytes) return { kind: 'incomplete', offsetBytes: incoming.receivedBytes }
    const finished = await incoming.finish(this._mapPiece)
    this._transfer = undefined
    return finished.kind === 'read' ? { kind: 'complete', snapshot: finished.snapshot } : { kind: 'incomplete', offsetBytes: 0 }
  }

  private async _transferFor ({ lastIndex, term }: SnapshotRequest): Promise<Transfer> {
    const current = this._transfer
    if (current?.lastIndex === lastIndex && current.term === term) return current
    this._transfer = undefined
    await current?.incoming.abandon()
    const transfer = { lastIndex, term, incoming: await this._storage.receiveSnapshot() }
    this._transfer = transfer
    return transfer
  }
}
