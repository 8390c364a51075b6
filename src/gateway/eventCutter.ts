/**
 * Cuts a stream of events (text/event-stream) where its events end, so that a
 * stream which breaks off in the middle of one can go on at another endpoint
 * behind the last whole event. The bytes stay as the endpoint sent them.
 */
const EVENT_END = Buffer.from('\n\n')
const ID_LINE = /^id: ?(\d+)$/m

export interface CompleteEvents {
  bytes: Uint8Array
  /** Id of the last event among them that has one. */
  lastId: number | undefined
  /** Id of the first event among them that has one. */
  firstId: number | undefined
}

export class EventStreamSplitter {
  private _partialEvent: Buffer = Buffer.alloc(0)

  /** Takes the next bytes; the events that are whole now, if any. */
  push (chunk: Uint8Array): CompleteEvents | undefined {
    this._partialEvent = this._partialEvent.length === 0 ? Buffer.from(chunk) : Buffer.concat([this._partialEvent, chunk])
    const end = this._partialEvent.lastIndexOf(EVENT_END)
    if (end < 0) return undefined
    const bytes = this._partialEvent.subarray(0, end + EVENT_END.length)
    this._partialEvent = this._partialEvent.subarray(end + EVENT_END.length)
    const ids = bytes.toString().split('\n\n').flatMap(event => ID_LINE.exec(event)?.[1] ?? []).map(Number)
    return { bytes, firstId: ids[0], lastId: ids.at(-1) }
  }

  /** Whether the bytes taken so far end with a whole event. */
  get isAtEventEnd (): boolean {
    return this._partialEvent.length === 0
  }
}
