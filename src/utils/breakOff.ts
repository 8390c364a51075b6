/**
 * Ends an answer early so that its caller can tell. An answer in chunks, or with a
 * length, shows by itself that its end is missing. One with neither, as callers of
 * HTTP/1.0 get it, ends with its connection: only a reset tells it from a whole one.
 */
import type { ServerResponse } from 'node:http'

export function breakOff (response: ServerResponse): void {
  // A reset drops what the caller has not taken yet, so that chunks are not reset.
  if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy()
  response.destroy()
}
