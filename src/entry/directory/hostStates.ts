/**
 * The states of the entry hosts, from which advice to callers is made: whether
 * a host accepts new work and how many requests it has in flight. Each host
 * publishes its own record periodically.
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
const STOPPING_CALL_TIMEOUT_MS = 2_000

const stoppingMethod = rpcMethod('host.stopping', fullRecordSchema, z.null())

export interface HostState extends HostContent {
  hostId: string
  inFlightCount: number
}

export interface HostStatesOptions {
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
  /** Whether this host accepts new work, as published to the other hosts. */
  takesWork: () => boolean
}

export class HostStates {
  private readonly _options: HostStatesOptions
  private _sequence = 0
  private _contentSequence = 0
  private _content: HostContent | undefined
  private _stopping = false

  constructor (options: HostStatesOptions) {
    this._options = options
    options.mesh.handlers.on(stoppingMethod, record => {
      options.gossip.forward(record)
      return null
    })
  }

  get isStopping (): boolean {
    return this._stopping
  }

  /** Returns the hosts that accept new work, as far as this host knows. */
  serving (): HostState[] {
    return this._all().filter(state => !state.stopping && state.takesWork)
  }

  mayBeAlive (hostId: string): boolean {
    return this._options.store.get(RecordKind.Host, hostId) !== undefined
  }

  async publishPeriodically (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      this.publish()
      await sleepUntil(clock, scope, clock.nowMs() + PUBLISH_INTERVAL_MS)
    }
  }

  publish (): FullRecord {
    const record = this._nextRecord()
    this._options.gossip.publish(record)
    return record
  }

  /**
   * Removes this host from the advice of all other hosts. A host that does not
   * confirm may name this host until the lease of this host expires.
   * @returns the time of this host's clock after which no host names this host in advice
   */
  async withdrawFromAdvice (hostIds: string[], scope: Scope): Promise<number> {
    const { clock, mesh, hostLeaseMs } = this._options
    this._stopping = true
    const leaseExpiresAtMs = clock.nowMs() + hostLeaseMs
    const record = this.publish()
    const progress = new Progress(clock, scope, clock.nowMs() + STOPPING_CALL_TIMEOUT_MS)
    const confirmed = await Promise.all(hostIds.map(hostId => mesh.call(hostId, stoppingMethod, record, progress)))
    const allConfirmed = confirmed.every(outcome => outcome.kind === 'replied')
    return allConfirmed ? clock.nowMs() : leaseExpiresAtMs
  }

  private _all (): HostState[] {
    const states: HostState[] = []
    for (const { record } of this._options.store.all()) {
      if (record.kind !== RecordKind.Host) continue
      states.push({ ...record.content, hostId: record.id, inFlightCount: record.load[0] ?? 0 })
    }
    return states
  }

  private _nextRecord (): FullRecord {
    const { hostId, incarnation, dataCentre, callerAddress, hostLeaseMs } = this._options
    const content: HostContent = { dataCentre, callerAddress, stopping: this._stopping, takesWork: this._options.takesWork() }
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
      load: [this._options.inFlightCount()],
      content
    }
  }
}
