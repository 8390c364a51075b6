/**
 * Puts a leader's snapshot together on the disk from its pieces, one call at a
 * time. A piece that is not the next one is answered by the position expected.
 */
import { DiskFullError } from '../../utils/errors.js'
import type { IncomingSnapshot } from '../storage/incomingSnapshot.js'
import type { ReplicaStorage } from '../storage/replicaStorage.js'
import type { Snapshot } from '../storage/snapshotFile.js'
import type { SnapshotRequest } from './raftMethods.js'

export type ReceiveOutcome =
  | { kind: 'incomplete', offsetBytes: number }
  /** The disk has no room for what was to come at the position. */
  | { kind: 'full', offsetBytes: number, reason: string }
  /** It lies on the disk; it has to be installed or discarded. */
  | { kind: 'complete', snapshot: Snapshot }

interface Receiving {
  lastIndex: number
  term: number
  incoming: IncomingSnapshot
}

export class SnapshotReceiver {
  private readonly _storage: ReplicaStorage
  private readonly _keep: (piece: unknown) => unknown
  private _receiving: Receiving | undefined
  private _lastCall: Promise<unknown> = Promise.resolve()

  /** @param keep what is kept of each piece that has come */
  constructor (storage: ReplicaStorage, keep: (piece: unknown) => unknown) {
    this._storage = storage
    this._keep = keep
  }

  /** Calls take effect in the order in which they came, also when a leader has given up waiting for the one before. */
  receive (request: SnapshotRequest): Promise<ReceiveOutcome> {
    const call = this._lastCall.then(() => this._receive(request))
    this._lastCall = call.catch(() => {})
    return call
  }

  private async _receive (request: SnapshotRequest): Promise<ReceiveOutcome> {
    try {
      return await this._takeIn(request)
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error
      return { kind: 'full', offsetBytes: this._receiving?.incoming.receivedBytes ?? 0, reason: error.message }
    }
  }

  private async _takeIn (request: SnapshotRequest): Promise<ReceiveOutcome> {
    const { incoming } = await this._receivingOf(request)
    if (request.offsetBytes !== incoming.receivedBytes) return { kind: 'incomplete', offsetBytes: incoming.receivedBytes }
    await incoming.append(request.bytes)
    if (incoming.receivedBytes < request.totalBytes) return { kind: 'incomplete', offsetBytes: incoming.receivedBytes }
    const finished = await incoming.finish(this._keep)
    this._receiving = undefined
    return finished.kind === 'read' ? { kind: 'complete', snapshot: finished.snapshot } : { kind: 'incomplete', offsetBytes: 0 }
  }

  private async _receivingOf ({ lastIndex, term }: SnapshotRequest): Promise<Receiving> {
    const present = this._receiving
    if (present?.lastIndex === lastIndex && present.term === term) return present
    this._receiving = undefined
    await present?.incoming.abandon()
    const receiving = { lastIndex, term, incoming: await this._storage.receiveSnapshot() }
    this._receiving = receiving
    return receiving
  }
}
