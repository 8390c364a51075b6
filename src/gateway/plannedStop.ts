/**
 * What a host that has been asked to stop can still serve. Callers come to it for a
 * while, by lists and connections that they hold; it must have answered each of them
 * when it ends. A request is taken on if its own time is over by then, or if what its
 * route takes, by what was answered and by what is in progress, is far less than what is
 * left; any other is refused at once, since another host can serve it.
 */
import { LRUCache } from 'lru-cache'

/** Durations kept per route: enough to have seen a slow one, few enough to follow changes. */
const MAX_DURATIONS_COUNT = 64
/** Fewer durations do not show what a route usually takes. */
const MIN_DURATIONS_COUNT = 5
/** A request counts on this multiple of the longest of them: the next may meet a slower endpoint, or a queue. */
const SAFETY_FACTOR = 3
const MAX_ROUTES_COUNT = 2_000

export class PlannedStop {
  /** By the name of the route, the oldest first. */
  private readonly _durationsMs = new LRUCache<string, number[]>({ max: MAX_ROUTES_COUNT })
  /** When each request that an endpoint has was sent, by the name of the route, the oldest first. */
  private readonly _sent = new Map<string, Set<{ sentAtMs: number }>>()
  private _endsAtMs = Number.POSITIVE_INFINITY

  /** When all requests have to be answered; infinite while the host does not stop. */
  get endsAtMs (): number {
    return this._endsAtMs
  }

  get isStopping (): boolean {
    return Number.isFinite(this._endsAtMs)
  }

  begin (endsAtMs: number): void {
    this._endsAtMs = endsAtMs
  }

  /**
   * Notes a request that is sent to an endpoint for the first time: its route takes at least as long as it does.
   * @returns to be called when it has ended
   */
  noteSent (routeName: string, sentAtMs: number): () => void {
    const sent = this._sent.get(routeName) ?? new Set()
    const own = { sentAtMs }
    this._sent.set(routeName, sent.add(own))
    return () => {
      sent.delete(own)
      if (sent.size === 0 && this._sent.get(routeName) === sent) this._sent.delete(routeName)
    }
  }

  /** Learns how long an answered request of a route took, from its arrival to the end of its answer. */
  recordDuration (routeName: string, durationMs: number): void {
    const durationsMs = this._durationsMs.get(routeName) ?? []
    durationsMs.push(durationMs)
    if (durationsMs.length > MAX_DURATIONS_COUNT) durationsMs.shift()
    this._durationsMs.set(routeName, durationsMs)
  }

  /**
   * Whether a request can be answered before the host ends.
   * @param deadlineMs when the time of the request is over
   */
  canServe (routeName: string, nowMs: number, deadlineMs: number): boolean {
    if (deadlineMs <= this._endsAtMs) return true
    const durationsMs = this._durationsMs.get(routeName) ?? []
    if (durationsMs.length < MIN_DURATIONS_COUNT) return false
    return nowMs + SAFETY_FACTOR * Math.max(this._longestOpenMs(routeName, nowMs), ...durationsMs) <= this._endsAtMs
  }

  private _longestOpenMs (routeName: string, nowMs: number): number {
    const [oldest] = this._sent.get(routeName) ?? []
    return oldest ? nowMs - oldest.sentAtMs : 0
  }
}
