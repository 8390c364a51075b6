/**
 * Replicates records between entry hosts. Changes are pushed to every host of
 * the own data centre and to one relay in each other data centre, which
 * forwards them to the hosts there. Periodic digests find records that were
 * lost. Content is sent at once and load in batches; load without a significant
 * change is sent only as often as the lease requires.
 */
import { z } from 'zod'
import { rpcMethod } from '../../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { EntryEvent } from '../entryEvents.js'
import type { PeerMesh } from '../peers/peerMesh.js'
import { fullRecordSchema, loadRecordSchema, recordKeySchema, versionEntrySchema, type FullRecord, type LoadRecord, type RecordKey, type VersionEntry } from './gossipRecord.js'
import { PushQueue } from './pushQueue.js'
import { BUCKETS_COUNT, isDrained, type RecordStore } from './recordStore.js'
import type { Topology } from './topology.js'

const DATA_CENTRE_FLUSH_DELAY_MS = 200
const CROSS_DATA_CENTRE_FLUSH_DELAY_MS = 1_000
const DIGEST_INTERVAL_MS = 3_000
const EXPIRE_INTERVAL_MS = 250
const CALL_TIMEOUT_MS = 2_000
/** One digest in this many is compared with a host of another data centre. */
const CROSS_DATA_CENTRE_DIGEST_PERIOD = 4

const deltaSchema = z.object({
  fromHostId: z.string(),
  full: z.array(fullRecordSchema),
  loads: z.array(loadRecordSchema),
  /** Whether the receiver forwards the records within its data centre. */
  relay: z.boolean()
})
type Delta = z.infer<typeof deltaSchema>

const compareRequestSchema = z.object({ hashes: z.array(z.number()), expiring: z.array(versionEntrySchema) })
const compareReplySchema = z.object({ differingBuckets: z.array(z.number()), renewals: z.array(fullRecordSchema) })
const exchangeRequestSchema = z.object({ buckets: z.array(z.number()), versions: z.array(versionEntrySchema) })
const exchangeReplySchema = z.object({ ready: z.boolean(), records: z.array(fullRecordSchema), wanted: z.array(recordKeySchema) })
type ExchangeReply = z.infer<typeof exchangeReplySchema>

const deltaMethod = rpcMethod('directory.delta', deltaSchema, z.void())
const fetchMethod = rpcMethod('directory.fetch', z.array(recordKeySchema), z.array(fullRecordSchema))
const compareMethod = rpcMethod('directory.compare', compareRequestSchema, compareReplySchema)
const exchangeMethod = rpcMethod('directory.exchange', exchangeRequestSchema, exchangeReplySchema)

export interface GossipOptions {
  hostId: string
  store: RecordStore
  mesh: PeerMesh
  topology: Topology
  clock: Clock
  random: RandomSource
  logger: Logger
  supervisor: Supervisor
  /** Load without a significant change is sent again after a third of this time. */
  leaseMs: number
}

export class Gossip {
  private readonly _options: GossipOptions
  private readonly _dataCentreQueue: PushQueue
  private readonly _relayQueue: PushQueue
  private _isReady = false
  private _digestsCount = 0

  constructor (options: GossipOptions) {
    this._options = options
    const { clock, leaseMs, mesh } = options
    this._dataCentreQueue = new PushQueue({ clock, flushAfterMs: DATA_CENTRE_FLUSH_DELAY_MS, resendAfterMs: leaseMs / 3, send: (full, loads) => this._sendToDataCentre(full, loads) })
    this._relayQueue = new PushQueue({ clock, flushAfterMs: CROSS_DATA_CENTRE_FLUSH_DELAY_MS, resendAfterMs: leaseMs / 3, send: (full, loads) => this._sendToRelays(full, loads) })
    mesh.handlers.on(deltaMethod, delta => this._onDelta(delta))
    mesh.handlers.on(fetchMethod, keys => this._export(keys))
    mesh.handlers.on(compareMethod, request => this._compare(request.hashes, request.expiring))
    mesh.handlers.on(exchangeMethod, request => this._exchange(request.buckets, request.versions))
  }

  start (): void {
    this._options.supervisor.spawn('directory expiry', scope => this._expirePeriodically(scope))
    this._options.supervisor.spawn('directory digests', scope => this._repairPeriodically(scope))
  }

  /** Stores a record that originates at this host and queues it for the other hosts. */
  publish (record: FullRecord): void {
    const outcome = this._options.store.put(record)
    if (outcome === 'stale') return
    this._dataCentreQueue.add(record, outcome)
    this._relayQueue.add(record, outcome)
  }

  /** Stores a record that another host sent directly, and queues it for the hosts of this data centre. */
  forward (record: FullRecord): void {
    this._merge([record], true)
  }

  /**
   * Fetches the records of other hosts before this host serves. Ends once a
   * ready host has answered, at the deadline, or when no other host is
   * registered and `hasRecords` returns true.
   */
  async syncFromPeers (scope: Scope, deadlineMs: number, hasRecords: () => boolean): Promise<void> {
    const { clock, topology } = this._options
    while (clock.nowMs() < deadlineMs) {
      if (topology.peersNearestFirst().length === 0 && hasRecords()) break
      for (const hostId of topology.peersNearestFirst()) {
        if (await this._syncFrom(hostId, scope)) return this._markReady()
      }
      await sleepUntil(clock, scope, Math.min(deadlineMs, clock.nowMs() + DATA_CENTRE_FLUSH_DELAY_MS))
    }
    this._markReady()
  }

  private _markReady (): void {
    this._isReady = true
  }

  private async _syncFrom (hostId: string, scope: Scope): Promise<boolean> {
    const buckets = Array.from({ length: BUCKETS_COUNT }, (_, index) => index)
    const versions = this._options.store.versionsIn(buckets)
    const outcome = await this._options.mesh.call(hostId, exchangeMethod, { buckets, versions }, this._progress(scope))
    if (outcome.kind !== 'replied') return false
    this._merge(outcome.body.records, false)
    return outcome.body.ready
  }

  private _sendToDataCentre (full: FullRecord[], loads: LoadRecord[]): void {
    this._send(this._options.topology.peersInDataCentre(), full, loads, false)
  }

  private _sendToRelays (full: FullRecord[], loads: LoadRecord[]): void {
    this._send(this._options.topology.relays(), full, loads, true)
  }

  private _send (hostIds: string[], full: FullRecord[], loads: LoadRecord[], relay: boolean): void {
    const delta: Delta = { fromHostId: this._options.hostId, full, loads, relay }
    for (const hostId of hostIds) this._options.mesh.notify(hostId, deltaMethod, delta)
  }

  private _onDelta ({ fromHostId, full, loads, relay }: Delta): void {
    const { store } = this._options
    for (const record of full) {
      const outcome = store.put(record)
      if (relay && outcome !== 'stale') this._dataCentreQueue.forward(record)
    }
    const missing: RecordKey[] = []
    for (const load of loads) {
      const outcome = store.putLoad(load)
      if (outcome === 'contentMissing') missing.push([load[0], load[1]])
      if (relay && outcome === 'load') this._dataCentreQueue.forwardLoad(load)
    }
    if (missing.length > 0) this._options.supervisor.spawn('directory fetch', scope => this._fetch(fromHostId, missing, relay, scope))
  }

  private async _fetch (hostId: string, keys: RecordKey[], relay: boolean, scope: Scope): Promise<void> {
    const outcome = await this._options.mesh.call(hostId, fetchMethod, keys, this._progress(scope))
    if (outcome.kind === 'replied') this._merge(outcome.body, relay)
  }

  private _merge (records: FullRecord[], forward: boolean): number {
    let mergedCount = 0
    for (const record of records) {
      if (this._options.store.put(record) === 'stale') continue
      mergedCount++
      if (forward) this._dataCentreQueue.forward(record)
    }
    return mergedCount
  }

  private _export (keys: RecordKey[]): FullRecord[] {
    return keys.map(key => this._options.store.export(key)).filter(record => record !== undefined)
  }

  private _compare (hashes: number[], expiring: VersionEntry[]): z.infer<typeof compareReplySchema> {
    const ownHashes = this._options.store.bucketHashes()
    const differingBuckets = [...ownHashes.keys()].filter(bucket => ownHashes[bucket] !== hashes[bucket])
    const renewals = expiring.map(entry => this._newerThan(entry)).filter(record => record !== undefined)
    return { differingBuckets, renewals }
  }

  private _newerThan ([kind, id, incarnation, sequence, drained]: VersionEntry): FullRecord | undefined {
    const record = this._options.store.export([kind, id])
    if (!record || record.incarnation < incarnation) return undefined
    if (record.incarnation > incarnation || record.sequence > sequence) return record
    return isDrained(record) && !drained ? record : undefined
  }

  private _exchange (buckets: number[], versions: VersionEntry[]): ExchangeReply {
    const { store } = this._options
    const remoteVersions = new Map(versions.map(entry => [`${entry[0]}/${entry[1]}`, entry]))
    const records: FullRecord[] = []
    for (const [kind, id] of store.versionsIn(buckets)) {
      const remoteVersion = remoteVersions.get(`${kind}/${id}`)
      const record = remoteVersion ? this._newerThan(remoteVersion) : store.export([kind, id])
      if (record) records.push(record)
    }
    const wanted = versions.filter(entry => store.isOutdatedBy(entry)).map(([kind, id]): RecordKey => [kind, id])
    return { ready: this._isReady, records, wanted }
  }

  private async _repairPeriodically (scope: Scope): Promise<void> {
    const { clock, random } = this._options
    for (;;) {
      const jitterMs = random.int(0, DIGEST_INTERVAL_MS / 4)
      await sleepUntil(clock, scope, clock.nowMs() + DIGEST_INTERVAL_MS + jitterMs)
      const isCrossDataCentre = ++this._digestsCount % CROSS_DATA_CENTRE_DIGEST_PERIOD === 0
      const hostId = this._pickDigestPeer(isCrossDataCentre)
      if (hostId !== undefined) await this._repairWith(hostId, isCrossDataCentre, scope)
    }
  }

  private _pickDigestPeer (isCrossDataCentre: boolean): string | undefined {
    const { topology, mesh, random } = this._options
    const connected = new Set(mesh.connectedHostIds())
    const candidates = (isCrossDataCentre ? topology.relays() : topology.peersInDataCentre()).filter(hostId => connected.has(hostId))
    return candidates.length > 0 ? candidates[random.int(0, candidates.length - 1)] : undefined
  }

  private async _repairWith (hostId: string, isCrossDataCentre: boolean, scope: Scope): Promise<void> {
    const { store, mesh, leaseMs, logger } = this._options
    const request = { hashes: store.bucketHashes(), expiring: store.versionsExpiringWithin(leaseMs / 2) }
    const compared = await mesh.call(hostId, compareMethod, request, this._progress(scope))
    if (compared.kind !== 'replied') return
    this._merge(compared.body.renewals, isCrossDataCentre)
    const buckets = compared.body.differingBuckets
    if (buckets.length === 0) return
    const exchanged = await mesh.call(hostId, exchangeMethod, { buckets, versions: store.versionsIn(buckets) }, this._progress(scope))
    if (exchanged.kind !== 'replied') return
    const mergedCount = this._merge(exchanged.body.records, isCrossDataCentre)
    if (mergedCount > 0) logger.event(EntryEvent.DirectoryRepaired, { peerHostId: hostId, recordsCount: mergedCount })
    const wanted = this._export(exchanged.body.wanted)
    if (wanted.length > 0) this._send([hostId], wanted, [], isCrossDataCentre)
  }

  private async _expirePeriodically (scope: Scope): Promise<void> {
    const { clock, store } = this._options
    for (;;) {
      await sleepUntil(clock, scope, clock.nowMs() + EXPIRE_INTERVAL_MS)
      store.expire()
    }
  }

  private _progress (scope: Scope): Progress {
    const { clock } = this._options
    return new Progress(clock, scope, clock.nowMs() + CALL_TIMEOUT_MS)
  }
}
