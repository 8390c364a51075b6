/**
 * The ledger of unrepeatable requests, part of the replicated state.
 *
 * A key is free, started or answered. Only the attempt that started a key may
 * finish or release that key. If the host of the attempt crashes in between, it is unknown
 * whether the request was executed, so the key stays started until its retention
 * ends.
 *
 * Records are retained for a fixed time by the leader's clock and bounded in
 * number and bytes. A started or answered key is never dropped early; when a bound
 * is reached, old answers lose their bodies, or new keys are refused.
 */
import type { UnrepeatableState } from '../../protocol/queries.js'
import { UnrepeatableCommandKind, type RecordedAnswer, type UnrepeatableCommand, type UnrepeatableResult } from '../../protocol/unrepeatableCommands.js'
import { unreachable } from '../../utils/errors.js'
import type { ApplyContext, StatePart } from '../../replication/replicatedState.js'

/** A request that is resent within this time is never executed a second time. */
export const UNREPEATABLE_RETENTION_MS = 24 * 3_600_000
/** Longer than any request may wait, so that no older attempt can still arrive. */
export const RELEASED_RETENTION_MS = 1_800_000
export const MAX_KEYS_COUNT = 100_000
export const MAX_BODIES_BYTES = 24 * 1024 * 1024

type KeyState =
  | { kind: 'free' }
  | { kind: 'started', attemptId: string, hostId: string, startedAtMs: number }
  | { kind: 'answered', attemptId: string, answer: RecordedAnswer }

interface KeyRecord {
  generation: number
  requestHash: string
  state: KeyState
  /** By the leader's clock. */
  forgetAtMs: number
}

export interface LedgerBounds {
  maxKeysCount: number
  maxBodiesBytes: number
}

type StartCommand = Extract<UnrepeatableCommand, { kind: UnrepeatableCommandKind.Start }>
type FinishCommand = Extract<UnrepeatableCommand, { kind: UnrepeatableCommandKind.Finish }>
type ReleaseCommand = Extract<UnrepeatableCommand, { kind: UnrepeatableCommandKind.Release }>

export class UnrepeatableLedger implements StatePart<UnrepeatableCommand, UnrepeatableResult> {
  private readonly _bounds: LedgerBounds
  /** In the order of their last change, so that the record that expires next comes first. */
  private _records = new Map<string, KeyRecord>()
  private _released = new Map<string, KeyRecord>()
  private _bodiesBytes = 0

  constructor (bounds: LedgerBounds = { maxKeysCount: MAX_KEYS_COUNT, maxBodiesBytes: MAX_BODIES_BYTES }) {
    this._bounds = bounds
  }

  get keysCount (): number {
    return this._records.size + this._released.size
  }

  apply (command: UnrepeatableCommand, { atMs }: ApplyContext): UnrepeatableResult {
    this._expire(atMs)
    switch (command.kind) {
      case UnrepeatableCommandKind.Start: return this._start(command, atMs)
      case UnrepeatableCommandKind.Finish: return this._finish(command, atMs)
      case UnrepeatableCommandKind.Release: return this._release(command, atMs)
      default: return unreachable(command)
    }
  }

  /** The recorded state of a key. */
  stateOf (callerName: string, idempotencyKey: string): UnrepeatableState {
    const record = this._find(keyOf(callerName, idempotencyKey))
    if (!record) return { kind: 'absent', generation: 0 }
    const { state, generation, requestHash } = record
    switch (state.kind) {
      case 'free': return { kind: 'absent', generation }
      case 'started': return { kind: 'started', hostId: state.hostId, startedAtMs: state.startedAtMs, attemptId: state.attemptId }
      case 'answered': return { kind: 'answered', answer: state.answer, requestHash }
      default: return unreachable(state)
    }
  }

  snapshot (): unknown {
    return { records: copies(this._records), released: copies(this._released) }
  }

  restore (snapshot: unknown): void {
    const { records, released } = snapshot as { records: Array<[string, KeyRecord]>, released: Array<[string, KeyRecord]> }
    this._records = new Map(records)
    this._released = new Map(released)
    this._bodiesBytes = 0
    for (const record of this._records.values()) this._bodiesBytes += bodyBytes(record)
  }

  private _start (command: StartCommand, atMs: number): UnrepeatableResult {
    const { attemptId, hostId, requestHash, generation } = command
    const key = keyOf(command.callerName, command.idempotencyKey)
    const record = this._find(key)
    if (record && record.state.kind !== 'free') return this._resultOfExisting(record, record.state, attemptId, requestHash)
    if ((record?.generation ?? 0) !== generation) return { kind: 'superseded' }
    if (!record && this.keysCount >= this._bounds.maxKeysCount) return { kind: 'ledgerFull' }
    this._store(key, { generation, requestHash, state: { kind: 'started', attemptId, hostId, startedAtMs: atMs }, forgetAtMs: atMs + UNREPEATABLE_RETENTION_MS })
    return { kind: 'started' }
  }

  private _finish ({ callerName, idempotencyKey, attemptId, answer }: FinishCommand, atMs: number): UnrepeatableResult {
    const key = keyOf(callerName, idempotencyKey)
    const record = this._records.get(key)
    if (!record || record.state.kind === 'free' || record.state.attemptId !== attemptId) return { kind: 'notOwner' }
    if (record.state.kind === 'answered') return { kind: 'finished' }
    this._store(key, { ...record, state: { kind: 'answered', attemptId, answer }, forgetAtMs: atMs + UNREPEATABLE_RETENTION_MS })
    this._bodiesBytes += answer.body.length
    this._dropOldBodies()
    return { kind: 'finished' }
  }

  private _release ({ callerName, idempotencyKey, attemptId }: ReleaseCommand, atMs: number): UnrepeatableResult {
    const key = keyOf(callerName, idempotencyKey)
    const record = this._find(key)
    const state = record?.state
    if (state?.kind === 'answered') return { kind: 'answered', answer: state.answer }
    if (state?.kind === 'started' && state.attemptId !== attemptId) {
      return { kind: 'alreadyStarted', hostId: state.hostId, startedAtMs: state.startedAtMs }
    }
    if (!record && this.keysCount >= this._bounds.maxKeysCount) return { kind: 'ledgerFull' }
    this._records.delete(key)
    this._released.delete(key)
    const generation = (record?.generation ?? 0) + 1
    this._released.set(key, { generation, requestHash: '', state: { kind: 'free' }, forgetAtMs: atMs + RELEASED_RETENTION_MS })
    return { kind: 'released' }
  }

  /** A start that is resent because its outcome was lost returns its first result. */
  private _resultOfExisting (record: KeyRecord, state: Exclude<KeyState, { kind: 'free' }>, attemptId: string, requestHash: string): UnrepeatableResult {
    if (record.requestHash !== requestHash) return { kind: 'keyReused' }
    if (state.kind === 'answered') return { kind: 'answered', answer: state.answer }
    if (state.attemptId === attemptId) return { kind: 'started' }
    return { kind: 'alreadyStarted', hostId: state.hostId, startedAtMs: state.startedAtMs }
  }

  private _find (key: string): KeyRecord | undefined {
    return this._records.get(key) ?? this._released.get(key)
  }

  private _store (key: string, record: KeyRecord): void {
    this._released.delete(key)
    this._records.delete(key)
    this._records.set(key, record)
  }

  private _expire (atMs: number): void {
    for (const [key, record] of this._records) {
      if (record.forgetAtMs > atMs) break
      this._records.delete(key)
      this._bodiesBytes -= bodyBytes(record)
    }
    for (const [key, { forgetAtMs }] of this._released) {
      if (forgetAtMs > atMs) break
      this._released.delete(key)
    }
  }

  private _dropOldBodies (): void {
    if (this._bodiesBytes <= this._bounds.maxBodiesBytes) return
    for (const record of this._records.values()) {
      if (this._bodiesBytes <= this._bounds.maxBodiesBytes) return
      if (record.state.kind !== 'answered' || record.state.answer.body.length === 0) continue
      this._bodiesBytes -= bodyBytes(record)
      record.state = { ...record.state, answer: { ...record.state.answer, body: new Uint8Array(0), bodyDropped: true } }
    }
  }
}

function keyOf (callerName: string, idempotencyKey: string): string {
  return JSON.stringify([callerName, idempotencyKey])
}

/** Records are modified in place, so a snapshot needs copies. */
function copies (records: Map<string, KeyRecord>): Array<[string, KeyRecord]> {
  return [...records].map(([key, record]) => [key, { ...record }])
}

function bodyBytes ({ state }: KeyRecord): number {
  return state.kind === 'answered' ? state.answer.body.length : 0
}
