/**
 * Keeps every finished sample on two hosts, finds contents again for delivery,
 * and copies those whose second host is gone.
 */
import type { CommittedSample, HeldSample, Slot } from '../../protocol/rolloutCommands.js'
import { RolloutCommandKind } from '../../protocol/rolloutCommands.js'
import type { Progress } from '../../utils/progress.js'
import { rankHosts } from './hostRanking.js'
import type { LedgerClient } from './ledgerClient.js'
import { RolloutEvent } from './rolloutEvents.js'
import { fetchCheckpoint, fetchSamples, keepCheckpoint, keepSample, type Checkpoint, type SampleContent } from './rolloutMethods.js'
import type { RolloutParts } from './rolloutParts.js'
import { slotKey, type SampleStore } from './sampleStore.js'

const HOLDERS_COUNT = 2
const PEER_CALL_MS = 2_000
/** Contents asked for in one call: bounds the size of a frame. */
const FETCH_BATCH_COUNT = 32
/** Hosts that may hold the checkpoint of a slot. */
const CHECKPOINT_CANDIDATES_COUNT = 3

export type FetchOutcome =
  | { kind: 'found', content: SampleContent }
  /** Every holder has answered that it does not have it. */
  | { kind: 'lost' }
  /** Some holder could not be asked. */
  | { kind: 'unreachable' }

export class SampleReplication {
  private readonly _parts: RolloutParts
  private readonly _ledger: LedgerClient
  private readonly _store: SampleStore

  constructor (parts: RolloutParts, ledger: LedgerClient, store: SampleStore) {
    this._parts = parts
    this._ledger = ledger
    this._store = store
    this._serve()
  }

  /** Keeps a content here and on a second host; returns the hosts that have it. */
  async keep (content: SampleContent, progress: Progress): Promise<string[]> {
    this._store.keep(content)
    const holders = [this._parts.hostId, ...await this._copyTo(content, this._candidates(slotKey(content)), progress)]
    if (holders.length < HOLDERS_COUNT) this._parts.logger.event(RolloutEvent.SampleOnOneHost, { job: content.job, attemptId: content.attemptId })
    return holders
  }

  /** Looks for contents here first, then with their other holders, one holder after the other. */
  async fetch (samples: CommittedSample[], progress: Progress): Promise<Map<string, FetchOutcome>> {
    const outcomes = new Map<string, FetchOutcome>()
    for (const { attemptId } of samples) {
      const content = this._store.get(attemptId)
      outcomes.set(attemptId, content ? { kind: 'found', content } : { kind: 'lost' })
    }
    for (let rank = 0; rank < HOLDERS_COUNT; rank++) {
      const sought = samples.filter(({ attemptId }) => outcomes.get(attemptId)?.kind !== 'found')
      const byHolder = groupByHolder(sought, rank, this._parts.hostId)
      const answers = await Promise.all([...byHolder].map(async ([hostId, attemptIds]) => await this._fetchFrom(hostId, attemptIds, progress)))
      for (const answer of answers) noteAnswer(outcomes, answer)
    }
    return outcomes
  }

  /** Copies samples whose second holder is gone to another host. */
  async repair (held: HeldSample[], progress: Progress): Promise<void> {
    const present = new Set([this._parts.hostId, ...this._parts.peers.connectedHostIds()])
    for (const sample of held) {
      const content = this._store.get(sample.attemptId)
      const alive = sample.holderHostIds.filter(hostId => present.has(hostId))
      // The first living holder repairs, so that two do not choose different hosts.
      if (!content || alive.length >= HOLDERS_COUNT || alive[0] !== this._parts.hostId) continue
      const copies = await this._copyTo(content, this._candidates(slotKey(content)), progress)
      if (copies.length === 0) continue
      await this._ledger.submit({ kind: RolloutCommandKind.MoveSample, ...slotOf(sample), attemptId: sample.attemptId, holderHostIds: [...alive, ...copies] }, progress)
    }
  }

  /** Leaves the beginning of a running sample with another host. */
  async checkpoint (checkpoint: Checkpoint, progress: Progress): Promise<void> {
    this._store.keepCheckpoint(checkpoint)
    for (const hostId of this._candidates(slotKey(checkpoint)).slice(0, CHECKPOINT_CANDIDATES_COUNT)) {
      const outcome = await this._parts.peers.call(hostId, keepCheckpoint, checkpoint, this._callProgress(progress))
      if (outcome.kind === 'replied') return
    }
  }

  /** The longest beginning of a slot that any of its likely holders has. */
  async findCheckpoint (slot: Slot, progress: Progress): Promise<Checkpoint | undefined> {
    const candidates = this._candidates(slotKey(slot)).slice(0, CHECKPOINT_CANDIDATES_COUNT)
    const answers = await Promise.all(candidates.map(async hostId => await this._parts.peers.call(hostId, fetchCheckpoint, slotOf(slot), this._callProgress(progress))))
    const found = answers.flatMap(answer => answer.kind === 'replied' && answer.body.checkpoint ? [answer.body.checkpoint] : [])
    const own = this._store.checkpoint(slot)
    if (own) found.push(own)
    return found.sort((a, b) => b.tokens.length - a.tokens.length)[0]
  }

  private _serve (): void {
    const { handlers } = this._parts.peers
    handlers.on(keepSample, content => {
      this._store.keep(content)
      return { ok: true }
    })
    handlers.on(fetchSamples, ({ attemptIds }) => ({ samples: attemptIds.flatMap(attemptId => this._store.get(attemptId) ?? []) }))
    handlers.on(keepCheckpoint, checkpoint => {
      this._store.keepCheckpoint(checkpoint)
      return { ok: true }
    })
    handlers.on(fetchCheckpoint, slot => ({ checkpoint: this._store.checkpoint(slot) ?? null }))
  }

  /** Connected hosts in order of preference for a slot. */
  private _candidates (key: string): string[] {
    return rankHosts(key, this._parts.peers.connectedHostIds())
  }

  private async _copyTo (content: SampleContent, candidates: string[], progress: Progress): Promise<string[]> {
    for (const hostId of candidates) {
      const outcome = await this._parts.peers.call(hostId, keepSample, content, this._callProgress(progress))
      if (outcome.kind === 'replied') return [hostId]
    }
    return []
  }

  private async _fetchFrom (hostId: string, attemptIds: string[], progress: Progress): Promise<HolderAnswer> {
    const samples = new Map<string, SampleContent>()
    for (let at = 0; at < attemptIds.length; at += FETCH_BATCH_COUNT) {
      const batch = attemptIds.slice(at, at + FETCH_BATCH_COUNT)
      const outcome = await this._parts.peers.call(hostId, fetchSamples, { attemptIds: batch }, this._callProgress(progress))
      if (outcome.kind !== 'replied') return { attemptIds, samples, isWhole: false }
      for (const content of outcome.body.samples) samples.set(content.attemptId, content)
    }
    return { attemptIds, samples, isWhole: true }
  }

  private _callProgress (progress: Progress): Progress {
    return progress.before(this._parts.clock.nowMs() + PEER_CALL_MS)
  }
}

interface HolderAnswer {
  attemptIds: string[]
  samples: Map<string, SampleContent>
  /** The host answered every question. */
  isWhole: boolean
}

function groupByHolder (samples: CommittedSample[], rank: number, ownHostId: string): Map<string, string[]> {
  const byHolder = new Map<string, string[]>()
  for (const { attemptId, holderHostIds } of samples) {
    const hostId = holderHostIds[rank]
    if (hostId === undefined || hostId === ownHostId) continue
    byHolder.set(hostId, [...byHolder.get(hostId) ?? [], attemptId])
  }
  return byHolder
}

function noteAnswer (outcomes: Map<string, FetchOutcome>, { attemptIds, samples, isWhole }: HolderAnswer): void {
  for (const attemptId of attemptIds) {
    const content = samples.get(attemptId)
    if (content) outcomes.set(attemptId, { kind: 'found', content })
    else if (!isWhole) outcomes.set(attemptId, { kind: 'unreachable' })
  }
}

function slotOf ({ job, step, group, index }: Slot): Slot {
  return { job, step, group, index }
}
