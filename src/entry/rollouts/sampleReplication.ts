/**
 * Stores every finished sample on two hosts, fetches contents for delivery, and
 * replicates samples again after the loss of a host.
 */
import type { CommittedSample, HeldSample, Slot } from '../../protocol/rolloutCommands.js'
import { RolloutCommandKind } from '../../protocol/rolloutCommands.js'
import type { Progress } from '../../utils/progress.js'
import { rankHosts } from './hostRanking.js'
import type { LedgerClient } from './ledgerClient.js'
import { RolloutEvent } from './rolloutEvents.js'
import { fetchCheckpoint, fetchSamples, keepCheckpoint, keepSample, type Checkpoint, type SampleContent } from './rolloutMethods.js'
import type { RolloutContext } from './rolloutContext.js'
import { slotKey, type SampleStore } from './sampleStore.js'

const HOLDERS_COUNT = 2
const PEER_CALL_TIMEOUT_MS = 2_000
/** Samples per call, which bounds the size of a frame. */
const FETCH_BATCH_COUNT = 32
/** Number of hosts, in order of preference, on which the checkpoint of a slot is stored or looked up. */
const CHECKPOINT_CANDIDATES_COUNT = 3

export type FetchOutcome =
  | { kind: 'found', content: SampleContent }
  /** Every host listed for the content has replied that the content is not stored there. */
  | { kind: 'lost' }
  /** At least one host listed for the content did not reply. */
  | { kind: 'unreachable' }

export class SampleReplication {
  private readonly _context: RolloutContext
  private readonly _ledger: LedgerClient
  private readonly _store: SampleStore

  constructor (context: RolloutContext, ledger: LedgerClient, store: SampleStore) {
    this._context = context
    this._ledger = ledger
    this._store = store
    this._serve()
  }

  /** Stores the content of a sample on this host and on a second one; returns the hosts that store the content. */
  async replicate (content: SampleContent, progress: Progress): Promise<string[]> {
    this._store.put(content)
    const holders = [this._context.hostId, ...await this._copyTo(content, this._rankedHosts(slotKey(content)), progress)]
    if (holders.length < HOLDERS_COUNT) this._context.logger.event(RolloutEvent.SampleOnOneHost, { job: content.job, attemptId: content.attemptId })
    return holders
  }

  /** Looks up contents on this host first, then in turn on the other hosts that store them. */
  async fetch (samples: CommittedSample[], progress: Progress): Promise<Map<string, FetchOutcome>> {
    const outcomes = new Map<string, FetchOutcome>()
    for (const { attemptId } of samples) {
      const content = this._store.get(attemptId)
      outcomes.set(attemptId, content ? { kind: 'found', content } : { kind: 'lost' })
    }
    for (let rank = 0; rank < HOLDERS_COUNT; rank++) {
      const missing = samples.filter(({ attemptId }) => outcomes.get(attemptId)?.kind !== 'found')
      const byHolder = groupByHolder(missing, rank, this._context.hostId)
      const answers = await Promise.all([...byHolder].map(async ([hostId, attemptIds]) => await this._fetchFrom(hostId, attemptIds, progress)))
      for (const answer of answers) recordAnswer(outcomes, answer)
    }
    return outcomes
  }

  /** Replicates samples that have lost a replica to another host. */
  async repair (held: HeldSample[], progress: Progress): Promise<void> {
    const connected = new Set([this._context.hostId, ...this._context.peers.connectedHostIds()])
    for (const sample of held) {
      const content = this._store.get(sample.attemptId)
      const connectedHolders = sample.holderHostIds.filter(hostId => connected.has(hostId))
      // Only the first connected host with a replica repairs, so that two such hosts don't choose different targets.
      if (!content || connectedHolders.length >= HOLDERS_COUNT || connectedHolders[0] !== this._context.hostId) continue
      const copies = await this._copyTo(content, this._rankedHosts(slotKey(content)), progress)
      if (copies.length === 0) continue
      await this._ledger.submit({ kind: RolloutCommandKind.MoveSample, ...slotOf(sample), attemptId: sample.attemptId, holderHostIds: [...connectedHolders, ...copies] }, progress)
    }
  }

  /** Stores the checkpoint of a running sample on this host and on another one. */
  async checkpoint (checkpoint: Checkpoint, progress: Progress): Promise<void> {
    this._store.putCheckpoint(checkpoint)
    for (const hostId of this._rankedHosts(slotKey(checkpoint)).slice(0, CHECKPOINT_CANDIDATES_COUNT)) {
      const outcome = await this._context.peers.call(hostId, keepCheckpoint, checkpoint, this._callProgress(progress))
      if (outcome.kind === 'replied') return
    }
  }

  /** The longest checkpoint of a slot on this host and its preferred hosts. */
  async findCheckpoint (slot: Slot, progress: Progress): Promise<Checkpoint | undefined> {
    const candidates = this._rankedHosts(slotKey(slot)).slice(0, CHECKPOINT_CANDIDATES_COUNT)
    const answers = await Promise.all(candidates.map(async hostId => await this._context.peers.call(hostId, fetchCheckpoint, slotOf(slot), this._callProgress(progress))))
    const found = answers.flatMap(answer => answer.kind === 'replied' && answer.body.checkpoint ? [answer.body.checkpoint] : [])
    const own = this._store.checkpoint(slot)
    if (own) found.push(own)
    return found.sort((a, b) => b.tokens.length - a.tokens.length)[0]
  }

  private _serve (): void {
    const { handlers } = this._context.peers
    handlers.on(keepSample, content => {
      this._store.put(content)
      return { ok: true }
    })
    handlers.on(fetchSamples, ({ attemptIds }) => ({ samples: attemptIds.flatMap(attemptId => this._store.get(attemptId) ?? []) }))
    handlers.on(keepCheckpoint, checkpoint => {
      this._store.putCheckpoint(checkpoint)
      return { ok: true }
    })
    handlers.on(fetchCheckpoint, slot => ({ checkpoint: this._store.checkpoint(slot) ?? null }))
  }

  /** Connected hosts in order of preference for a slot key. */
  private _rankedHosts (key: string): string[] {
    return rankHosts(key, this._context.peers.connectedHostIds())
  }

  private async _copyTo (content: SampleContent, candidates: string[], progress: Progress): Promise<string[]> {
    for (const hostId of candidates) {
      const outcome = await this._context.peers.call(hostId, keepSample, content, this._callProgress(progress))
      if (outcome.kind === 'replied') return [hostId]
    }
    return []
  }

  private async _fetchFrom (hostId: string, attemptIds: string[], progress: Progress): Promise<HolderAnswer> {
    const samples = new Map<string, SampleContent>()
    for (let at = 0; at < attemptIds.length; at += FETCH_BATCH_COUNT) {
      const batch = attemptIds.slice(at, at + FETCH_BATCH_COUNT)
      const outcome = await this._context.peers.call(hostId, fetchSamples, { attemptIds: batch }, this._callProgress(progress))
      if (outcome.kind !== 'replied') return { attemptIds, samples, isWhole: false }
      for (const content of outcome.body.samples) samples.set(content.attemptId, content)
    }
    return { attemptIds, samples, isWhole: true }
  }

  private _callProgress (progress: Progress): Progress {
    return progress.withDeadline(this._context.clock.nowMs() + PEER_CALL_TIMEOUT_MS)
  }
}

interface HolderAnswer {
  attemptIds: string[]
  samples: Map<string, SampleContent>
  /** Whether the host replied to every call. */
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

function recordAnswer (outcomes: Map<string, FetchOutcome>, { attemptIds, samples, isWhole }: HolderAnswer): void {
  for (const attemptId of attemptIds) {
    const content = samples.get(attemptId)
    if (content) outcomes.set(attemptId, { kind: 'found', content })
    else if (!isWhole) outcomes.set(attemptId, { kind: 'unreachable' })
  }
}

function slotOf ({ job, step, group, index }: Slot): Slot {
  return { job, step, group, index }
}
