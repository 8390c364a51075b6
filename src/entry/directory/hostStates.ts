/**
 * What entry hosts say of themselves, for advice: whether they take new work
 * and how busy they are. Each host publishes its own record again and again.
 */
import { z } from 'zod'
import { rpcMethod } from '../../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { PeerMesh } from '../peers/peerMesh.js'
import type { Gossip } from './gossip.js'
import { fullRecordSchema, RecordKind, type FullRecord, type HostContent } from './gossipRecord.js'
import type { RecordStore } from './recordStore.js'

const PUBLISH_INTERVAL_MS = 1_000
const STOPPING_CALL_MS = 2_000

const stoppingMethod = rpcMethod('host.stopping', fullRecordSchema, z.null())

export interface HostState extends HostContent {
  hostId: string
  inFlightCount: number
}

export interface HostStatesParts {
  hostId: string
  incarnation: number
  dataCentre: string
  callerAddress: string
  clock: Clock
  store: RecordStore
  gossip: Gossip
  mesh: PeerMesh
  hostLeaseMs: number
  inFlightCount: () => number
  /** Whether this host takes new work, as callers are to be told. */
  takesWork: () => boolean
}

export class HostStates {
  private readonly _parts: HostStatesParts
  private _sequence = 0
  private _contentSequence = 0
  private _content: HostContent | undefined
  private _stopping = false

  constructor (parts: HostStatesParts) {
    this._parts = parts
    parts.mesh.handlers.on(stoppingMethod, record => {
      parts.gossip.passOn(record)
      return null
    })
  }

  get isStopping (): boolean {
    return this._stopping
  }

  /** Hosts that take new work, as far as this one knows. */
  serving (): HostState[] {
    return this._all().filter(state => !state.stopping && state.takesWork)
  }

  mayLive (hostId: string): boolean {
    return this._parts.store.get(RecordKind.Host, hostId) !== undefined
  }

  async publishRepeatedly (scope: Scope): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      this.publish()
      await sleepUntil(clock, scope, clock.nowMs() + PUBLISH_INTERVAL_MS)
    }
  }

  publish (): FullRecord {
    const record = this._nextRecord()
    this._parts.gossip.publish(record)
    return record
  }

  /**
   * Takes this host out of the advice of all others.
   * @returns the instant by which the last advice that named this host was given
   */
  async leaveAdvice (hostIds: string[], scope: Scope): Promise<number> {
    const { clock, mesh, hostLeaseMs } = this._parts
    this._stopping = true
    const forgottenAtMs = clock.nowMs() + hostLeaseMs
    const record = this.publish()
    const progress = new Progress(clock, scope, clock.nowMs() + STOPPING_CALL_MS)
    const confirmed = await Promise.all(hostIds.map(hostId => mesh.call(hostId, stoppingMethod, record, progress)))
    const allConfirmed = confirmed.every(outcome => outcome.kind === 'replied')
    return allConfirmed ? clock.nowMs() : forgottenAtMs
  }

  private _all (): HostState[] {
    const states: HostState[] = []
    for (const { record } of this._parts.store.all()) {
      if (record.kind !== RecordKind.Host) continue
      states.push({ ...record.content, hostId: record.id, inFlightCount: record.load[0] ?? 0 })
    }
    return states
  }

  private _nextRecord (): FullRecord {
    const { hostId, incarnation, dataCentre, callerAddress, hostLeaseMs } = this._parts
    const content: HostContent = { dataCentre, callerAddress, stopping: this._stopping, takesWork: this._parts.takesWork() }
    this._sequence++
    if (content.stopping !== this._content?.stopping || content.takesWork !== this._content.takesWork) this._contentSequence = this._sequence
    this._content = content
    return {
      kind: RecordKind.Host,
      id: hostId,
      incarnation,
      sequence: this._sequence,
      contentSequence: this._contentSequence,
      leaseRemainingMs: hostLeaseMs,
      loadAgeMs: 0,
      load: [this._parts.inFlightCount()],
      content
    }
  }
}
