/**
 * Splits a `text/event-stream` body at event boundaries, so that a stream that
 * breaks within an event can be resumed at another endpoint after the last
 * complete event. The bytes are passed on exactly as the endpoint sent them.
 */
const EVENT_END = Buffer.from('\n\n')
const ID_LINE = /^id: ?(\d+)$/m

export interface CompleteEvents {
  bytes: Uint8Array
  /** Id of the last event in `bytes` that carries one. */
  lastId: number | undefined
  /** Id of the first event in `bytes` that carries one. */
  firstId: number | undefined
}

export class EventStreamSplitter {
  private _partialEvent: Buffer = Buffer.alloc(0)

  /** Adds the next chunk and returns the events that it completes, if any. */
  push (chunk: Uint8Array): CompleteEvents | undefined {
    this._partialEvent = this._partialEvent.length === 0 ? Buffer.from(chunk) : Buffer.concat([this._partialEvent, chunk])
    const end = this._partialEvent.lastIndexOf(EVENT_END)
    if (end < 0) return undefined
    const bytes = this._partialEvent.subarray(0, end + EVENT_END.length)
    this._partialEvent = this._partialEvent.subarray(end + EVENT_END.length)
    const ids = bytes.toString().split('\n\n').flatMap(event => ID_LINE.exec(event)?.[1] ?? []).map(Number)
    return { bytes, firstId: ids[0], lastId: ids.at(-1) }
  }

  /** Bytes of the event that is not complete. */
  get partialBytes (): number {
    return this._partialEvent.length
  }

  /** Whether the bytes received so far end at an event boundary. */
  get isAtEventEnd (): boolean {
    return this._partialEvent.length === 0
  }
}
