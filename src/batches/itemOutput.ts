/**
 * The output of an item as it grows: the data of its events, and the versions
 * of the weights that made them. Events count from 1 without a gap. The first
 * ones may be kept in the replicated state already; all are held here too, so
 * that they can be sent again should the state keep something else.
 */
import type { ItemEvent } from '../endpoints/endpointClient.js'
import type { OutputPart } from '../protocol/batches.js'
import { invariant } from '../utils/errors.js'
import { eventsCountOf, toPart } from './outputParts.js'

interface OutputEvent {
  data: string
  version: number
}

export class ItemOutput {
  /** What the replicated state kept when this host began. */
  private _base: readonly OutputPart[]
  private _baseCount: number
  private _events: OutputEvent[] = []
  private _replicatedCount: number
  private _generation = 0

  /** @param base what the replicated state keeps of the item */
  constructor (base: readonly OutputPart[] = []) {
    this._base = base
    this._baseCount = eventsCountOf(base)
    this._replicatedCount = this._baseCount
  }

  /** Id of the last event held; 0 before the first. */
  get lastEventId (): number {
    return this._baseCount + this._events.length
  }

  /** Events that the replicated state keeps. */
  get replicatedCount (): number {
    return this._replicatedCount
  }

  /** Events that it does not keep yet. */
  get unreplicatedCount (): number {
    return this.lastEventId - this._replicatedCount
  }

  /** Changes when the output begins anew. */
  get generation (): number {
    return this._generation
  }

  /** Each version once, in order. */
  get versions (): number[] {
    const all = new Set([...this._base.flatMap(({ versions }) => versions), ...versionsOf(this._events)])
    return [...all].sort((left, right) => left - right)
  }

  add ({ id, data, version }: ItemEvent): void {
    invariant(id === this.lastEventId + 1, `event ${id} after ${this.lastEventId}`)
    this._events.push({ data, version })
  }

  /** The events that the replicated state does not keep yet. */
  unreplicatedParts (): OutputPart[] {
    if (this._replicatedCount < this._baseCount) return [...this._base, partOf(this._events)]
    return [partOf(this._events.slice(this._replicatedCount - this._baseCount))]
  }

  /** The replicated state keeps the events up to this one. */
  markReplicated (lastEventId: number): void {
    this._replicatedCount = lastEventId
  }

  /** The replicated state keeps something else than was believed: everything has to be sent again. */
  resetReplicated (): void {
    this._replicatedCount = 0
  }

  /** Whether every event was made by a version at least this new. */
  isGeneratedSince (version: number): boolean {
    return this.versions.every(each => each >= version)
  }

  clear (): void {
    this._base = []
    this._baseCount = 0
    this._events = []
    this._replicatedCount = 0
    this._generation++
  }
}

function partOf (events: readonly OutputEvent[]): OutputPart {
  return toPart(events.map(({ data }) => data), versionsOf(events))
}

function versionsOf (events: readonly OutputEvent[]): number[] {
  return [...new Set(events.map(({ version }) => version))]
}
