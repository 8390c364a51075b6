/**
 * What an engine truly did: which version of its weights made which token of
 * which request. The system never reads it; checkers do.
 */
import type { VersionSpan } from '../src/protocol/trainers.js'

export interface GenerationEntry {
  /** As the request named it; an own one where it named none. */
  requestId: string
  prompt: string
  /** Tokens that the request brought along. */
  resumedFromToken: number
  /** Tokens made here, by absolute index, under the version that made them. */
  spans: VersionSpan[]
  tokens: string[]
  ended: 'running' | 'stop' | 'length' | 'cancelled'
}

const MAX_ENTRIES = 50_000

export class GenerationRecord {
  private readonly _entries: GenerationEntry[] = []

  get entries (): readonly GenerationEntry[] {
    return this._entries
  }

  begin (requestId: string, prompt: string, resumedFromToken: number): GenerationEntry {
    const entry: GenerationEntry = { requestId, prompt, resumedFromToken, spans: [], tokens: [], ended: 'running' }
    this._entries.push(entry)
    if (this._entries.length > MAX_ENTRIES) this._entries.shift()
    return entry
  }
}

/** Adds tokens made under one version to the spans of an entry. */
export function recordTokens (entry: GenerationEntry, tokens: string[], maker: Omit<VersionSpan, 'fromToken' | 'toToken'>): void {
  const fromToken = entry.resumedFromToken + entry.tokens.length
  const toToken = fromToken + tokens.length
  const last = entry.spans.at(-1)
  entry.tokens.push(...tokens)
  if (last && last.weightVersion === maker.weightVersion) last.toToken = toToken
  else entry.spans.push({ fromToken, toToken, ...maker })
}
