/**
 * Leaves of endpoints: what was noted of them in the log of the control hosts,
 * and which starts of an endpoint they end, as every host works that out.
 */
import { LRUCache } from 'lru-cache'
import { z } from 'zod'

/** Grows only: an endpoint that leaves becomes ready again by a new start alone. */
export enum EndpointLifecycle {
  Ready = 0,
  /** Finishes what it runs; gets nothing new. */
  Leaving = 1,
  Gone = 2
}

/** Endpoints whose leaves a host remembers; heartbeats come some seconds late at most. */
const MAX_REMEMBERED_COUNT = 4_096

const leaveFields = {
  /** What the endpoint calls itself. */
  name: z.string(),
  /** The start that leaves, 0 for endpoints that do not tell their starts apart; absent when neither the endpoint said nor the control host knew. */
  bornAtMs: z.int().min(0).optional(),
  lifecycle: z.enum(EndpointLifecycle)
}

/** A leave before it is noted. */
export const endpointLeaveRequestSchema = z.object(leaveFields)
export type EndpointLeaveRequest = z.infer<typeof endpointLeaveRequestSchema>

export const endpointLeaveSchema = z.object({
  ...leaveFields,
  /** Its place among all leaves that were noted; grows. */
  number: z.int().min(1)
})
export type EndpointLeave = z.infer<typeof endpointLeaveSchema>

interface KnownLeave {
  number: number
  bornAtMs: number
  lifecycle: EndpointLifecycle
}

/** The leaves that a host has been told of. */
export class KnownLeaves {
  /** By the endpoint's name. */
  private readonly _leaves = new LRUCache<string, KnownLeave>({ max: MAX_REMEMBERED_COUNT })

  /**
   * Told again, also by another control host, a leave changes nothing.
   * @param newestBornAtMs the newest start of the endpoint that is known here; a leave that does not say which start it ends, ends that one
   */
  note ({ number, name, bornAtMs, lifecycle }: EndpointLeave, newestBornAtMs: number | undefined): void {
    const known = this._leaves.get(name)
    if (known && known.number >= number) return
    const endsAtMs = bornAtMs ?? newestBornAtMs ?? 0
    if (known && known.bornAtMs > endsAtMs) return
    const isSameStart = known?.bornAtMs === endsAtMs
    this._leaves.set(name, { number, bornAtMs: endsAtMs, lifecycle: isSameStart ? Math.max(known.lifecycle, lifecycle) : lifecycle })
  }

  /** How far a start has come by the leaves that are known. A start after the one that left is not concerned, an earlier one is gone. */
  lifecycleOf ({ name, bornAtMs }: { name: string, bornAtMs: number }): EndpointLifecycle {
    const known = this._leaves.get(name)
    if (!known || bornAtMs > known.bornAtMs) return EndpointLifecycle.Ready
    return bornAtMs < known.bornAtMs ? EndpointLifecycle.Gone : known.lifecycle
  }
}
