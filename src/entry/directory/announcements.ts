/**
 * Accepts announcements of endpoints, which may be sent to any entry host. An
 * announcement renews the lease of the endpoint and is published to the other
 * hosts as a gossip record.
 */
import { isDeepStrictEqual } from 'node:util'
import { z } from 'zod'
import { announcementSchema, type Announcement, type AnnouncementReply } from '../../protocol/endpoints.js'
import { callerPaths } from '../../protocol/callers.js'
import { Executed, RefusalReason } from '../../protocol/refusals.js'
import type { ResponseWriter } from '../http/responseWriter.js'
import { parseJson, readBody } from '../http/requestBody.js'
import type { Exchange, Route } from '../http/route.js'
import type { Gossip } from './gossip.js'
import { RecordKind, type FullRecord } from './gossipRecord.js'
import type { HostStates } from './hostStates.js'
import { loadNumbers } from './liveDirectory.js'
import type { RecordStore } from './recordStore.js'
import { rankByRendezvous } from './rendezvous.js'

const MAX_ANNOUNCEMENT_BYTES = 64 * 1024
const ANNOUNCE_TO_COUNT = 3

type EndpointFullRecord = Extract<FullRecord, { kind: RecordKind.Endpoint }>

export interface AnnouncementsOptions {
  store: RecordStore
  gossip: Gossip
  hosts: HostStates
  responseWriter: ResponseWriter
  endpointLeaseMs: number
}

export class Announcements {
  private readonly _options: AnnouncementsOptions

  constructor (options: AnnouncementsOptions) {
    this._options = options
  }

  route (): Route {
    return {
      name: 'announce',
      method: 'POST',
      pathPrefix: callerPaths.announce,
      servedWithoutLease: true,
      handle: exchange => this._handle(exchange)
    }
  }

  announce (announcement: Announcement): AnnouncementReply {
    const before = this._endpoint(announcement.endpointId)
    this._options.gossip.publish(this._recordFor(announcement, before))
    return { leaseRemainingMs: this._options.endpointLeaseMs, announceTo: this._announceTo(announcement) }
  }

  /** Takes an endpoint out of service until its next incarnation; returns false if the endpoint is unknown. */
  drain (endpointId: string): boolean {
    const record = this._endpoint(endpointId)
    if (!record) return false
    this._options.gossip.publish({ ...record, drained: true })
    return true
  }

  private async _handle (exchange: Exchange): Promise<void> {
    const { responseWriter } = this._options
    const read = await readBody(exchange, MAX_ANNOUNCEMENT_BYTES)
    if (read.kind === 'refused') return responseWriter.refuse(exchange, read.refusal)
    const parsed = announcementSchema.safeParse(parseJson(read.body))
    if (!parsed.success) {
      const message = z.prettifyError(parsed.error)
      return responseWriter.refuse(exchange, { reason: RefusalReason.MalformedRequest, executed: Executed.No, message })
    }
    responseWriter.json(exchange, 200, this.announce(parsed.data))
  }

  private _endpoint (endpointId: string): EndpointFullRecord | undefined {
    const record = this._options.store.export([RecordKind.Endpoint, endpointId])
    return record?.kind === RecordKind.Endpoint ? record : undefined
  }

  private _recordFor (announcement: Announcement, before: EndpointFullRecord | undefined): EndpointFullRecord {
    const { endpointId, incarnation, sequence, load } = announcement
    const { endpointLeaseMs } = this._options
    const known = before?.incarnation === incarnation ? before : undefined
    const content = { ...announcement, sequence: 0, load: { runningCount: 0, waitingCount: 0, kvUsedPercent: 0, tokensPerSecond: 0, ageMs: 0 } }
    const sameContent = known !== undefined && isDeepStrictEqual(known.content, content)
    return {
      kind: RecordKind.Endpoint,
      id: endpointId,
      incarnation,
      sequence,
      contentSequence: sameContent ? known.contentSequence : sequence,
      leaseRemainingMs: endpointLeaseMs,
      loadAgeMs: load.ageMs,
      load: loadNumbers(load),
      content,
      drained: known?.drained ?? false
    }
  }

  /**
   * Chooses the hosts for the next announcements, those of the endpoint's data
   * centre first. Ranking by endpoint id spreads the endpoints over the hosts.
   */
  private _announceTo ({ endpointId, dataCentre }: Announcement): string[] {
    const serving = this._options.hosts.serving()
    const near = serving.filter(host => host.dataCentre === dataCentre)
    const far = serving.filter(host => host.dataCentre !== dataCentre)
    const ranked = [near, far].flatMap(hosts => rankByRendezvous(endpointId, hosts.map(host => host.callerAddress)))
    return ranked.slice(0, ANNOUNCE_TO_COUNT)
  }
}
