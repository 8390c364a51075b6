/**
 * Puts a leader's snapshot together on the disk from its pieces, one call at a
 * time. A piece that is not the next one is answered by the position expected.
 */
import type { IncomingSnapshot } from '../storage/incomingSnapshot.js'
import type { ReplicaStorage } from '../storage/replicaStorage.js'
import type { Snapshot } from '../storage/snapshotFile.js'
import type { SnapshotRequest } from './raftMethods.js'

export type ReceiveOutcome =
  | { kind: 'incomplete', offsetBytes: number }
  /** It lies on the disk; it has to be installed or discarded. */
  | { kind: 'complete', snapshot: Snapshot }

interface Receiving {
  lastIndex: number
  term: number
  incoming: IncomingSnapshot
}

export class SnapshotReceiver {
  private readonly _storage: ReplicaStorage
  private _receiving: Receiving | undefined
  private _lastCall: Promise<unknown> = Promise.resolve()

  constructor (storage: ReplicaStorage) {
    this._storage = storage
  }

  /** Calls take effect in the order in which they came, also when a leader has given up waiting for the one before. */
  receive (request: SnapshotRequest): Promise<ReceiveOutcome> {
    const call = this._lastCall.then(() => this._receive(request))
    this._lastCall = call.catch(() => {})
    return call
  }

  private async _receive (request: SnapshotRequest): Promise<ReceiveOutcome> {
    const { incoming } = await this._receivingOf(request)
    if (request.offsetBytes !== incoming.receivedBytes) return { kind: 'incomplete', offsetBytes: incoming.receivedBytes }
    await incoming.append(request.bytes)
    if (incoming.receivedBytes < request.totalBytes) return { kind: 'incomplete', offsetBytes: incoming.receivedBytes }
    this._receiving = undefined
    const finished = await incoming.finish()
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
