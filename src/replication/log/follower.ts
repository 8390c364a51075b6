/**
 * The follower's side of replication: handles entries, heartbeats and snapshots
 * from the leader.
 */
import { sleepUntil } from '../../utils/clock.js'
import type { Scope } from '../../utils/scope.js'
import { ReplicationEvent } from '../replicationEvents.js'
import type { LogApplier } from './logApplier.js'
import type {
  AppendReply, AppendRequest, HeartbeatReply, HeartbeatRequest, SnapshotReply, SnapshotRequest
} from './raftMethods.js'
import type { ReplicaCore } from './replicaCore.js'
import type { Snapshot } from '../storage/snapshotFile.js'
import { SnapshotReceiver } from './snapshotReceiver.js'

/** Longest wait for room in the log before the leader has to send entries again; well below the leader's call timeout of 1 s. */
const FULL_LOG_PAUSE_MS = 300
/** Pause before a snapshot chunk that did not fit on a full disk is requested again; well below the leader's call timeout of 1 s. */
const DISK_FULL_PAUSE_MS = 300

export class Follower {
  private readonly _core: ReplicaCore
  private readonly _applier: LogApplier
  private readonly _scope: Scope
  private readonly _receiver: SnapshotReceiver

  constructor (core: ReplicaCore, applier: LogApplier, scope: Scope) {
    this._core = core
    this._applier = applier
    this._scope = scope
    this._receiver = new SnapshotReceiver(core.options.storage, piece => applier.reuse(piece))
  }

  async onAppend (request: AppendRequest): Promise<AppendReply> {
    const core = this._core
    if (!(await core.accepts(request))) return { kind: 'wrongReplica' }
    if (request.term < core.term) return { kind: 'staleTerm', term: core.term }
    core.follow(request.term, request.fromReplicaId)
    if (this._applier.isLogFull && this._extendsLog(request)) {
      const hasRoom = await this._applier.whenLogHasRoom(this._scope, { clock: core.options.clock, deadlineMs: core.options.clock.nowMs() + FULL_LOG_PAUSE_MS })
      if (core.term !== request.term) return { kind: 'staleTerm', term: core.term }
      // The leader sends the entries again.
      if (!hasRoom) return { kind: 'mismatch', retryFromIndex: core.state.log.lastIndex + 1 }
    }
    const merged = core.state.merge(request, core.commitIndex)
    if (merged.kind === 'mismatch') return merged
    core.commitTo(Math.min(request.commitIndex, merged.matchIndex))
    await core.whenDurable(this._scope)
    // A later leader may have truncated the entries in the meantime.
    if (core.term !== request.term) return { kind: 'staleTerm', term: core.term }
    return { kind: 'matched', matchIndex: merged.matchIndex }
  }

  /** Whether a request only appends to the log. One that replaces entries of an earlier leader has to be taken also by a full log, which may never commit those. */
  private _extendsLog ({ prevIndex, prevTerm, entries }: AppendRequest): boolean {
    const { log } = this._core.state
    return entries.length > 0 && prevIndex === log.lastIndex && prevTerm === log.lastTerm
  }

  async onHeartbeat (request: HeartbeatRequest): Promise<HeartbeatReply> {
    const core = this._core
    if (!(await core.accepts(request))) return { kind: 'wrongReplica' }
    if (request.term < core.term) return { kind: 'staleTerm', term: core.term }
    const isNewTerm = request.term > core.term
    core.follow(request.term, request.fromReplicaId)
    core.commitTo(request.commitIndex)
    if (isNewTerm) await core.whenDurable(this._scope)
    return core.term === request.term ? { kind: 'following' } : { kind: 'staleTerm', term: core.term }
  }

  async onSnapshot (request: SnapshotRequest): Promise<SnapshotReply> {
    const core = this._core
    if (!(await core.accepts(request))) return { kind: 'wrongReplica' }
    if (request.term < core.term) return { kind: 'staleTerm', term: core.term }
    core.follow(request.term, request.fromReplicaId)
    // Entries committed here already match the leader's log.
    if (request.lastIndex <= core.commitIndex) return await this._installedAt(core.commitIndex, request.term)
    core.snapshotStats.recordChunkArrived(request.lastIndex)
    const received = await this._scope.race(this._receiver.receive(request))
    switch (received.kind) {
      case 'complete':
        return await this._onSnapshotComplete(received.snapshot, request.term)
      case 'incomplete':
        return { kind: 'expecting', offsetBytes: received.offsetBytes }
      case 'full':
        return await this._onDiskFull(received.offsetBytes, received.reason)
    }
  }

  /** Makes the leader send the chunk again; the pause prevents a busy loop. */
  private async _onDiskFull (offsetBytes: number, reason: string): Promise<SnapshotReply> {
    const { clock, logger } = this._core.options
    logger.event(ReplicationEvent.DiskFull, { error: reason })
    await sleepUntil(clock, this._scope, clock.nowMs() + DISK_FULL_PAUSE_MS)
    return { kind: 'expecting', offsetBytes }
  }

  /** Installs a received snapshot. Writing it may have been slow, so the term may have changed and entries may have arrived since the last chunk was sent. */
  private async _onSnapshotComplete (snapshot: Snapshot, term: number): Promise<SnapshotReply> {
    const core = this._core
    if (core.term !== term || snapshot.lastIndex <= core.commitIndex) {
      await this._scope.race(core.options.storage.discardSnapshot(snapshot))
      return core.term === term ? await this._installedAt(core.commitIndex, term) : { kind: 'staleTerm', term: core.term }
    }
    core.state.install(snapshot)
    core.commitIndex = snapshot.lastIndex
    this._applier.restore(snapshot)
    core.options.logger.event(ReplicationEvent.SnapshotInstalled, { lastIndex: snapshot.lastIndex, bytesCount: snapshot.lengthBytes, tookMs: core.snapshotStats.recordInstalled(snapshot.lengthBytes) })
    return await this._installedAt(snapshot.lastIndex, term)
  }

  private async _installedAt (matchIndex: number, term: number): Promise<SnapshotReply> {
    await this._core.whenDurable(this._scope)
    if (this._core.term !== term) return { kind: 'staleTerm', term: this._core.term }
    return { kind: 'installed', matchIndex }
  }
}
