/**
 * An engine's cache of prompt prefixes: a bounded number of blocks with LRU
 * eviction. A change of the weight version clears it.
 */
import { LRUCache } from 'lru-cache'

const BLOCK_CHARS = 64

export class PrefixCache {
  private readonly _blocks: LRUCache<string, true>
  private _version: number

  constructor (maxBlocksCount: number, weightVersion: number) {
    this._blocks = new LRUCache({ max: maxBlocksCount })
    this._version = weightVersion
  }

  get usedPercent (): number {
    return 100 * this._blocks.size / this._blocks.max
  }

  /** Caches the blocks of a prompt and returns the number of its characters that were not cached. */
  admit (prompt: string): number {
    let cachedChars = 0
    let isPrefixCached = true
    for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
      const block = prompt.slice(0, end)
      isPrefixCached &&= this._blocks.has(block)
      if (isPrefixCached) cachedChars = end
      this._blocks.set(block, true)
    }
    return prompt.length - cachedChars
  }

  useVersion (weightVersion: number): void {
    if (weightVersion === this._version) return
    this._version = weightVersion
    this._blocks.clear()
  }
}
