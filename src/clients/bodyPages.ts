/**
 * Bytes of a body, copied into pages as they arrive: what is held is what arrived,
 * however small the chunks are that it came in. A large body is held in one page, so
 * that it need not be copied once more when it is whole; the system gives a page
 * memory as far as it is written.
 */

const FIRST_PAGE_BYTES = 1024
const MAX_PAGE_BYTES = 64 * 1024
/** Larger bodies are held in one page. */
const MAX_DIVIDED_BYTES = 1024 * 1024
/** So many times what has arrived, where the length of a body is not stated. */
const SPAN_GROWTH = 8

export class BodyPages {
  /** Bytes that were added. */
  lengthBytes = 0
  /** Bytes of all pages, of a single large one as far as it is written. */
  capacityBytes = 0
  private _pages: Buffer[] = []
  /** Bytes in use of the last page. */
  private _lastBytes = 0
  private _expectedBytes = Infinity
  private _maxBytes = Infinity

  /**
   * Tells how large the body will be.
   * @param statedBytes undefined if the client does not state it
   */
  expect (maxBytes: number, statedBytes?: number): void {
    this._maxBytes = maxBytes
    this._expectedBytes = Math.min(maxBytes, statedBytes ?? Infinity)
  }

  /** Bytes of all pages once so many more were added. */
  capacityWith (bytes: number): number {
    const lengthBytes = this.lengthBytes + bytes
    if (lengthBytes > MAX_DIVIDED_BYTES) return roundedUp(lengthBytes)
    const freeBytes = (this._pages.at(-1)?.length ?? 0) - this._lastBytes
    return bytes <= freeBytes ? this.capacityBytes : this.capacityBytes + this._nextPageBytes(bytes - freeBytes)
  }

  add (chunk: Buffer): void {
    if (this.lengthBytes + chunk.length > MAX_DIVIDED_BYTES) return this._addToSpan(chunk)
    let position = 0
    while (position < chunk.length) {
      let page = this._pages.at(-1)
      if (!page || this._lastBytes === page.length) page = this._addPage(chunk.length - position)
      const copiedBytes = chunk.copy(page, this._lastBytes, position)
      this._lastBytes += copiedBytes
      position += copiedBytes
    }
    this.lengthBytes += chunk.length
  }

  /** All bytes; nothing is left. */
  take (): Buffer {
    const taken = this._whole()
    this.clear()
    return taken
  }

  clear (): void {
    this._pages = []
    this._lastBytes = 0
    this.lengthBytes = 0
    this.capacityBytes = 0
  }

  private _whole (): Buffer {
    const last = this._pages.length - 1
    const parts = this._pages.map((page, index) => index === last ? page.subarray(0, this._lastBytes) : page)
    const [first] = parts
    return parts.length === 1 && first ? first : Buffer.concat(parts, this.lengthBytes)
  }

  private _addPage (neededBytes: number): Buffer {
    const page = Buffer.allocUnsafeSlow(this._nextPageBytes(neededBytes))
    this._pages.push(page)
    this._lastBytes = 0
    this.capacityBytes += page.length
    return page
  }

  /** Pages grow with the body, are at least as large as what is to be added now, and hold a body of ordinary size without more. */
  private _nextPageBytes (neededBytes: number): number {
    const untilMaxBytes = MAX_PAGE_BYTES - this.capacityBytes
    const grownBytes = Math.min(Math.max(FIRST_PAGE_BYTES, this.capacityBytes), untilMaxBytes > 0 ? untilMaxBytes : MAX_PAGE_BYTES)
    return Math.max(grownBytes, neededBytes)
  }

  private _addToSpan (chunk: Buffer): void {
    const lengthBytes = this.lengthBytes + chunk.length
    const [first] = this._pages
    const span = this._pages.length === 1 && first && first.length >= lengthBytes ? first : this._newSpan(lengthBytes)
    chunk.copy(span, this.lengthBytes)
    this.lengthBytes = this._lastBytes = lengthBytes
    this.capacityBytes = roundedUp(lengthBytes)
  }

  private _newSpan (lengthBytes: number): Buffer {
    const spanBytes = Number.isFinite(this._expectedBytes) && this._expectedBytes < this._maxBytes ? this._expectedBytes : Math.min(this._maxBytes, SPAN_GROWTH * lengthBytes)
    const span = Buffer.allocUnsafeSlow(Math.max(lengthBytes, spanBytes))
    let position = 0
    for (const page of this._pages) position += page.copy(span, position, 0, Math.min(page.length, this.lengthBytes - position))
    this._pages = [span]
    return span
  }
}

function roundedUp (bytes: number): number {
  return Math.ceil(bytes / MAX_PAGE_BYTES) * MAX_PAGE_BYTES
}
