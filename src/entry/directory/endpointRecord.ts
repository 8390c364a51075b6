/**
 * Endpoints as known to an entry host, and the interface for looking them up.
 */
import type { Stream } from 'most'
import type { Announcement } from '../../protocol/endpoints.js'

export interface EndpointRecord {
  readonly announcement: Announcement
  /** When the load report was taken, on the monotonic clock of this host. */
  readonly loadAtMs: number
  /** When the record expires unless a newer announcement arrives. */
  readonly leaseEndsAtMs: number
}

export type DirectoryChange =
  | { kind: 'put', record: EndpointRecord }
  | { kind: 'removed', endpointId: string, pool: string }

export interface EndpointDirectory {
  /** Returns the endpoints of a pool that hold a lease and are not leaving. */
  available (pool: string): EndpointRecord[]
  get (endpointId: string): EndpointRecord | undefined
  readonly changes: Stream<DirectoryChange>
}
