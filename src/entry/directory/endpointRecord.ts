/**
 * What an entry host knows of an endpoint.
 */
import type { Stream } from 'most'
import type { Announcement } from '../../protocol/endpoints.js'

export interface EndpointRecord {
  readonly announcement: Announcement
  /** When its load report was true, in this host's monotonic clock. */
  readonly loadAtMs: number
  /** The record is dropped at this instant unless a newer announcement comes. */
  readonly leaseEndsAtMs: number
}

export type DirectoryChange =
  | { kind: 'put', record: EndpointRecord }
  | { kind: 'removed', endpointId: string, pool: string }

export interface EndpointDirectory {
  /** Endpoints of a pool that hold a lease and are not leaving. */
  available (pool: string): EndpointRecord[]
  get (endpointId: string): EndpointRecord | undefined
  readonly changes: Stream<DirectoryChange>
}
