/**
 * The queue of records to push to other hosts. It holds only the newest state
 * of each record. Changed content is sent at once; load reports are delayed and
 * sent in batches. Load without a significant change is skipped until the
 * record's lease has to be renewed.
 */
import type { Clock } from '../../utils/clock.js'
import type { FullRecord, LoadRecord } from './gossipRecord.js'
import { keyOf, toLoadRecord } from './recordStore.js'

const SIGNIFICANT_CHANGE_PERCENT = 10

interface SentLoad {
  load: number[]
  atMs: number
}

export interface PushQueueOptions {
  clock: Clock
  flushAfterMs: number
  resendAfterMs: number
  send: (full: FullRecord[], loads: LoadRecord[]) => void
}

export class PushQueue {
  private readonly _options: PushQueueOptions
  private readonly _full = new Map<string, FullRecord>()
  private readonly _loads = new Map<string, LoadRecord>()
  private readonly _sent = new Map<string, SentLoad>()
  private _cancelFlush: (() => void) | undefined
  private _flushAtMs = Infinity

  constructor (options: PushQueueOptions) {
    this._options = options
  }

  /** Adds a record that originates at this host. */
  add (record: FullRecord, outcome: 'content' | 'load'): void {
    if (outcome === 'content') return this._addFull(record)
    const key = keyOf(record.kind, record.id)
    const full = this._full.get(key)
    if (full) this._full.set(key, record)
    else if (this._shouldSendLoad(key, record.load)) this._addLoad(key, toLoadRecord(record))
  }

  /** Adds a record that another host sent. */
  forward (record: FullRecord): void {
    this._addFull(record)
  }

  forwardLoad (load: LoadRecord): void {
    this._addLoad(keyOf(load[0], load[1]), load)
  }

  private _addFull (record: FullRecord): void {
    const key = keyOf(record.kind, record.id)
    this._loads.delete(key)
    this._full.set(key, record)
    this._recordSent(key, record.load)
    this._scheduleFlush(this._options.clock.nowMs())
  }

  private _addLoad (key: string, load: LoadRecord): void {
    if (this._full.has(key)) return
    this._loads.set(key, load)
    this._recordSent(key, load[7])
    this._scheduleFlush(this._options.clock.nowMs() + this._options.flushAfterMs)
  }

  private _shouldSendLoad (key: string, load: number[]): boolean {
    const sent = this._sent.get(key)
    if (!sent || this._loads.has(key)) return true
    const { clock, resendAfterMs } = this._options
    return clock.nowMs() - sent.atMs >= resendAfterMs || differsSignificantly(sent.load, load)
  }

  private _recordSent (key: string, load: number[]): void {
    this._sent.set(key, { load, atMs: this._options.clock.nowMs() })
  }

  private _scheduleFlush (atMs: number): void {
    if (atMs >= this._flushAtMs) return
    this._cancelFlush?.()
    this._flushAtMs = atMs
    this._cancelFlush = this._options.clock.callAt(atMs, () => this._flush())
  }

  private _flush (): void {
    this._flushAtMs = Infinity
    const full = [...this._full.values()]
    const loads = [...this._loads.values()]
    this._full.clear()
    this._loads.clear()
    this._options.send(full, loads)
    this._evictOldSent()
  }

  private _evictOldSent (): void {
    const { clock, resendAfterMs } = this._options
    const oldestMs = clock.nowMs() - 10 * resendAfterMs
    for (const [key, { atMs }] of this._sent) {
      if (atMs < oldestMs) this._sent.delete(key)
    }
  }
}

function differsSignificantly (before: number[], after: number[]): boolean {
  return after.some((value, index) => {
    const previous = before[index] ?? 0
    return Math.abs(value - previous) * 100 > Math.max(previous, 1) * SIGNIFICANT_CHANGE_PERCENT
  })
}
