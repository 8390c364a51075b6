/**
 * What an engine truly did: which version of its weights made which token of
 * which request. The system never reads it; checkers do. With a file it also
 * outlives the engine: every stretch of tokens is written before it is sent.
 */
import { appendFileSync, existsSync, readFileSync } from 'node:fs'
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

/** Who made tokens, and under which version. */
export type TokenMaker = Omit<VersionSpan, 'fromToken' | 'toToken'>

/** One line of the file. */
interface JournalLine {
  /** Distinguishes the requests of one engine. */
  entryNumber: number
  requestId: string
  prompt: string
  fromToken: number
  tokens: string[]
  maker: TokenMaker
}

const MAX_ENTRIES = 50_000

export class GenerationRecord {
  private readonly _file: string | undefined
  private readonly _entries: GenerationEntry[] = []
  private readonly _numbers = new Map<GenerationEntry, number>()

  /** @param file where every stretch of tokens is appended */
  constructor (file?: string) {
    this._file = file
  }

  get entries (): readonly GenerationEntry[] {
    return this._entries
  }

  begin (requestId: string, prompt: string, resumedFromToken: number): GenerationEntry {
    const entry: GenerationEntry = { requestId, prompt, resumedFromToken, spans: [], tokens: [], ended: 'running' }
    this._entries.push(entry)
    this._numbers.set(entry, this._numbers.size)
    if (this._entries.length > MAX_ENTRIES) this._entries.shift()
    return entry
  }

  add (entry: GenerationEntry, tokens: string[], maker: TokenMaker): void {
    if (this._file !== undefined) this._append(this._file, entry, tokens, maker)
    addTokens(entry, tokens, maker)
  }

  private _append (file: string, entry: GenerationEntry, tokens: string[], maker: TokenMaker): void {
    const { requestId, prompt } = entry
    const line: JournalLine = { entryNumber: this._numbers.get(entry) ?? 0, requestId, prompt, fromToken: nextToken(entry), tokens, maker }
    appendFileSync(file, `${JSON.stringify(line)}\n`)
  }
}

/** Reads back what an engine, or several starts of one, appended to a file. */
export function readRecordFile (file: string): GenerationEntry[] {
  if (!existsSync(file)) return []
  const entries = new Map<string, GenerationEntry>()
  for (const text of readFileSync(file, 'utf8').split('\n').filter(line => line !== '')) {
    const { entryNumber, requestId, prompt, fromToken, tokens, maker } = JSON.parse(text) as JournalLine
    const key = `${maker.engineIncarnation}/${entryNumber}`
    const entry = entries.get(key) ?? { requestId, prompt, resumedFromToken: fromToken, spans: [], tokens: [], ended: 'running' }
    entries.set(key, entry)
    addTokens(entry, tokens, maker)
  }
  return [...entries.values()]
}

function nextToken (entry: GenerationEntry): number {
  return entry.resumedFromToken + entry.tokens.length
}

function addTokens (entry: GenerationEntry, tokens: string[], maker: TokenMaker): void {
  const fromToken = nextToken(entry)
  const toToken = fromToken + tokens.length
  const last = entry.spans.at(-1)
  entry.tokens.push(...tokens)
  if (last && last.weightVersion === maker.weightVersion) last.toToken = toToken
  else entry.spans.push({ fromToken, toToken, ...maker })
}
