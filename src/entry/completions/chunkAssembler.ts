/**
 * Assembles the chunks of one completion: tokens are accepted in the order of
 * their offsets and each token once, whichever engine sent it. Chunks beyond
 * the current end are buffered, up to a fixed number.
 */
import type { CompletionChunk, FinishReason } from '../../protocol/endpoints.js'
import type { VersionSpan } from '../../protocol/trainers.js'

const MAX_EARLY_CHUNKS_COUNT = 256

export type ChunkOutcome =
  /** Chunks with new tokens, in order; may be empty. */
  | { kind: 'accepted', chunks: CompletionChunk[] }
  /** The buffer of out-of-order chunks is full, so the missing chunks before them are considered lost. */
  | { kind: 'gapTooLarge' }

export class ChunkAssembler {
  readonly tokens: string[]
  readonly versions: VersionSpan[]
  private readonly _early = new Map<number, CompletionChunk>()
  private _finishReason: FinishReason | undefined

  /**
   * @param tokens tokens of earlier attempts
   * @param versions the weight versions that produced these tokens
   */
  constructor (tokens: string[] = [], versions: VersionSpan[] = []) {
    this.tokens = [...tokens]
    this.versions = [...versions]
  }

  /** Set once all tokens of the completion have been accepted. */
  get finishReason (): FinishReason | undefined {
    return this._finishReason
  }

  accept (chunk: CompletionChunk): ChunkOutcome {
    if (this._finishReason !== undefined) return { kind: 'accepted', chunks: [] }
    if (chunk.token_offset > this.tokens.length) return this._bufferEarly(chunk)
    const accepted: CompletionChunk[] = []
    for (let next: CompletionChunk | undefined = chunk; next; next = this._takeContiguous()) {
      const fresh = this._append(next)
      if (fresh) accepted.push(fresh)
    }
    return { kind: 'accepted', chunks: accepted }
  }

  /** Discards buffered chunks, which belong to the previous attempt. */
  startAttempt (): void {
    this._early.clear()
  }

  private _bufferEarly (chunk: CompletionChunk): ChunkOutcome {
    if (this._early.size >= MAX_EARLY_CHUNKS_COUNT) return { kind: 'gapTooLarge' }
    const buffered = this._early.get(chunk.token_offset)
    if (!buffered || buffered.tokens.length < chunk.tokens.length || chunk.finish_reason) this._early.set(chunk.token_offset, chunk)
    return { kind: 'accepted', chunks: [] }
  }

  private _takeContiguous (): CompletionChunk | undefined {
    if (this._early.size === 0 || this._finishReason !== undefined) return undefined
    for (const [offset, chunk] of this._early) {
      if (offset > this.tokens.length) continue
      this._early.delete(offset)
      return chunk
    }
    return undefined
  }

  /**
   * Appends the new tokens of a chunk that starts at or before the current end.
   * Returns the new part, or undefined if the chunk adds nothing.
   */
  private _append (chunk: CompletionChunk): CompletionChunk | undefined {
    const knownCount = this.tokens.length - chunk.token_offset
    const fresh = knownCount > 0 ? chunk.tokens.slice(knownCount) : chunk.tokens
    const endsHere = chunk.token_offset + chunk.tokens.length === this.tokens.length + fresh.length
    const finishes = chunk.finish_reason !== null && endsHere
    if (fresh.length === 0 && !finishes) return undefined
    const offset = this.tokens.length
    this.tokens.push(...fresh)
    if (fresh.length > 0) this._appendVersion(chunk, offset)
    if (finishes && chunk.finish_reason) this._finishReason = chunk.finish_reason
    return knownCount > 0 ? { ...chunk, token_offset: offset, tokens: fresh } : chunk
  }

  private _appendVersion ({ weight_version: weightVersion, engine_id: engineId, engine_incarnation: engineIncarnation }: CompletionChunk, fromToken: number): void {
    const last = this.versions.at(-1)
    const toToken = this.tokens.length
    const continues = last?.toToken === fromToken && last.weightVersion === weightVersion &&
      last.engineId === engineId && last.engineIncarnation === engineIncarnation
    if (continues) last.toToken = toToken
    else this.versions.push({ fromToken, toToken, weightVersion, engineId, engineIncarnation })
  }
}
