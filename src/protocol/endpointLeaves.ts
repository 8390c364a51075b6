/**
 * Departures of endpoints: their form in the log of the control hosts, and the rules
 * by which every host derives the incarnations that a departure ends.
 */
import { LRUCache } from 'lru-cache'
import { z } from 'zod'

/** Increases only: an endpoint that leaves becomes ready again only by a restart. */
export enum EndpointLifecycle {
  Ready = 0,
  /** Finishes the requests that it runs and gets no new ones. */
  Leaving = 1,
  Gone = 2
}

/** Limit on remembered departures; an old heartbeat arrives at most some seconds after the departure. */
const MAX_KNOWN_LEAVES_COUNT = 4_096

const leaveFields = {
  /** The name under which the endpoint announces itself. */
  name: z.string(),
  /** Start time of the leaving incarnation, 0 for endpoints that send none; absent if it is known neither from the endpoint nor to the control host. */
  bornAtMs: z.int().min(0).optional(),
  lifecycle: z.enum(EndpointLifecycle)
}

/** A departure before it is recorded in the log. */
export const endpointLeaveRequestSchema = z.object(leaveFields)
export type EndpointLeaveRequest = z.infer<typeof endpointLeaveRequestSchema>

export const endpointLeaveSchema = z.object({
  ...leaveFields,
  /** Sequence number of the departure in the log; increases. */
  number: z.int().min(1)
})
export type EndpointLeave = z.infer<typeof endpointLeaveSchema>

interface KnownLeave {
  number: number
  bornAtMs: number
  lifecycle: EndpointLifecycle
}

/** The departures that a host knows. */
export class KnownLeaves {
  /** By the endpoint's name. */
  private readonly _leaves = new LRUCache<string, KnownLeave>({ max: MAX_KNOWN_LEAVES_COUNT })

  /**
   * Records a departure. Idempotent: the same departure may be received again, also from another control host.
   * @param newestBornAtMs start time of the newest incarnation known here, which a departure without a start time ends
   */
  record ({ number, name, bornAtMs, lifecycle }: EndpointLeave, newestBornAtMs: number | undefined): void {
    const known = this._leaves.get(name)
    if (known && known.number >= number) return
    const endsAtMs = bornAtMs ?? newestBornAtMs ?? 0
    if (known && known.bornAtMs > endsAtMs) return
    const isSameStart = known?.bornAtMs === endsAtMs
    this._leaves.set(name, { number, bornAtMs: endsAtMs, lifecycle: isSameStart ? Math.max(known.lifecycle, lifecycle) : lifecycle })
  }

  /** The lifecycle of an incarnation according to the known departures: those before the one that left are removed, later ones are unaffected. */
  lifecycleOf ({ name, bornAtMs }: { name: string, bornAtMs: number }): EndpointLifecycle {
    const known = this._leaves.get(name)
    if (!known || bornAtMs > known.bornAtMs) return EndpointLifecycle.Ready
    return bornAtMs < known.bornAtMs ? EndpointLifecycle.Gone : known.lifecycle
  }
}
