/**
 * Estimates the clock of another host from the readings in its messages, so that the
 * host can tell how old a message to it is, without synchronized clocks. The estimate
 * is low by the transit time of a reading, never high: a message never looks newer to
 * its receiver than it is.
 */
import type { Clock } from '../utils/clock.js'

/** A reading that was in transit for the shortest time is used for this long; then clock rates may have changed the offset. */
const READING_LIFETIME_MS = 5_000

interface Reading {
  incarnationId: string
  offsetMs: number
  atMs: number
}

export class PeerClock {
  private readonly _clock: Clock
  private _best: Reading | undefined

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** @param incarnationId of the peer's process, whose clock starts with it */
  record (incarnationId: string, peerMs: number): void {
    const atMs = this._clock.leaseNowMs()
    const offsetMs = peerMs - atMs
    const isKept = this._best?.incarnationId === incarnationId && this._best.offsetMs > offsetMs && atMs - this._best.atMs < READING_LIFETIME_MS
    if (!isKept) this._best = { incarnationId, offsetMs, atMs }
  }

  /** What the peer's clock shows at least; undefined before the first reading. */
  get nowMs (): number | undefined {
    return this._best && this._clock.leaseNowMs() + this._best.offsetMs
  }
}
