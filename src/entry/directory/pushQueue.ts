/**
 * What is to be pushed to other hosts next. Of each record only the newest
 * state waits. Changed content is sent at once, load after a while, so that it
 * travels in batches; load that hardly changed is not sent before the lease
 * needs it.
 */
import type { Clock } from '../../utils/clock.js'
import type { FullRecord, LoadRecord } from './gossipRecord.js'
import { keyOf, toLoadRecord } from './recordStore.js'

const SIGNIFICANT_CHANGE_PERCENT = 10

interface Sent {
  load: number[]
  atMs: number
}

export interface PushQueueParts {
  clock: Clock
  flushAfterMs: number
  renewAfterMs: number
  send: (full: FullRecord[], loads: LoadRecord[]) => void
}

export class PushQueue {
  private readonly _parts: PushQueueParts
  private readonly _full = new Map<string, FullRecord>()
  private readonly _loads = new Map<string, LoadRecord>()
  private readonly _sent = new Map<string, Sent>()
  private _cancelFlush: (() => void) | undefined
  private _flushAtMs = Infinity

  constructor (parts: PushQueueParts) {
    this._parts = parts
  }

  /** A record that began at this host. */
  add (record: FullRecord, outcome: 'content' | 'load'): void {
    if (outcome === 'content') return this._addFull(record)
    const key = keyOf(record.kind, record.id)
    const full = this._full.get(key)
    if (full) this._full.set(key, record)
    else if (this._isWorthSending(key, record.load)) this._addLoad(key, toLoadRecord(record))
  }

  /** A record that came from another host and is passed on. */
  pass (record: FullRecord): void {
    this._addFull(record)
  }

  passLoad (load: LoadRecord): void {
    this._addLoad(keyOf(load[0], load[1]), load)
  }

  private _addFull (record: FullRecord): void {
    const key = keyOf(record.kind, record.id)
    this._loads.delete(key)
    this._full.set(key, record)
    this._noteSent(key, record.load)
    this._flushAt(this._parts.clock.nowMs())
  }

  private _addLoad (key: string, load: LoadRecord): void {
    if (this._full.has(key)) return
    this._loads.set(key, load)
    this._noteSent(key, load[7])
    this._flushAt(this._parts.clock.nowMs() + this._parts.flushAfterMs)
  }

  private _isWorthSending (key: string, load: number[]): boolean {
    const sent = this._sent.get(key)
    if (!sent || this._loads.has(key)) return true
    const { clock, renewAfterMs } = this._parts
    return clock.nowMs() - sent.atMs >= renewAfterMs || differsMuch(sent.load, load)
  }

  private _noteSent (key: string, load: number[]): void {
    this._sent.set(key, { load, atMs: this._parts.clock.nowMs() })
  }

  private _flushAt (atMs: number): void {
    if (atMs >= this._flushAtMs) return
    this._cancelFlush?.()
    this._flushAtMs = atMs
    this._cancelFlush = this._parts.clock.callAt(atMs, () => this._flush())
  }

  private _flush (): void {
    this._flushAtMs = Infinity
    const full = [...this._full.values()]
    const loads = [...this._loads.values()]
    this._full.clear()
    this._loads.clear()
    this._parts.send(full, loads)
    this._forgetOldSent()
  }

  private _forgetOldSent (): void {
    const { clock, renewAfterMs } = this._parts
    const oldestMs = clock.nowMs() - 10 * renewAfterMs
    for (const [key, { atMs }] of this._sent) {
      if (atMs < oldestMs) this._sent.delete(key)
    }
  }
}

function differsMuch (before: number[], after: number[]): boolean {
  return after.some((value, index) => {
    const was = before[index] ?? 0
    return Math.abs(value - was) * 100 > Math.max(was, 1) * SIGNIFICANT_CHANGE_PERCENT
  })
}
