/**
 * The events that a run has received from its engine and not yet passed on. They
 * are passed on in parts, because each part is stored by one write to the
 * replicated log.
 */
import type { ItemEvent } from '../endpoints/endpointClient.js'
import type { RunProgress } from '../protocol/runnerTasks.js'
import { toPart } from './outputParts.js'

/** Events of one part: less than a second of a run, which has to be repeated if the host is lost. */
const EVENTS_PER_PART_COUNT = 16
/**
 * An output with this many events has smaller parts. A step ends with its longest
 * samples and waits for what a lost host had received of them: 0.1 s on average
 * instead of 0.3 s at 40 ms per event.
 */
const LONG_OUTPUT_EVENTS_COUNT = 64
const LONG_OUTPUT_EVENTS_PER_PART_COUNT = 6

/** Events of a part that follows earlier events of an output. */
export function eventsPerPartCount (lastEventId: number): number {
  return lastEventId < LONG_OUTPUT_EVENTS_COUNT ? EVENTS_PER_PART_COUNT : LONG_OUTPUT_EVENTS_PER_PART_COUNT
}

export class OutputBuffer {
  private _lastEventId: number
  private _lastEventAtMs: number | undefined
  private _reportedEventId: number
  private _held: ItemEvent[] = []
  private _parts: RunProgress['parts'] = []
  private _gapsMs: number[] = []

  /** @param afterEventId id of the last event of the output before the run */
  constructor (afterEventId: number) {
    this._lastEventId = afterEventId
    this._reportedEventId = afterEventId
  }

  /**
   * @param receivedAtMs by the clock of this host
   * @param gapMs time since the previous event; undefined if it does not show the pace of the engine
   */
  add (event: ItemEvent, receivedAtMs: number, gapMs: number | undefined): void {
    this._held.push(event)
    this._lastEventId = event.id
    this._lastEventAtMs = receivedAtMs
    if (gapMs !== undefined) this._gapsMs.push(gapMs)
    if (this._held.length >= eventsPerPartCount(event.id)) this.completePart()
  }

  /** Makes a part of the events that are held back. */
  completePart (): void {
    const [first] = this._held
    if (!first) return
    const versions = [...new Set(this._held.map(({ version }) => version))]
    this._parts.push({ afterEventId: first.id - 1, part: toPart(this._held.map(({ data }) => data), versions) })
    this._held = []
  }

  /** Whether a part is ready. */
  get hasPart (): boolean {
    return this._parts.length > 0
  }

  /** Everything since the last call; undefined if nothing was received. */
  take (): RunProgress | undefined {
    if (this._reportedEventId === this._lastEventId && this._parts.length === 0) return undefined
    const progress = { lastEventId: this._lastEventId, lastEventAtMs: this._lastEventAtMs, gapsMs: this._gapsMs, parts: this._parts }
    this._reportedEventId = this._lastEventId
    this._gapsMs = []
    this._parts = []
    return progress
  }
}
