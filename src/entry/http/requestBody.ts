/**
 * Reads request bodies within limits of size and time.
 */
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import { unreachable } from '../../utils/errors.js'
import type { Exchange } from './route.js'

export type BodyOutcome = { kind: 'read', body: Buffer } | { kind: 'refused', refusal: Refusal }

const EMPTY = Buffer.alloc(0)

/** Reads the complete body; refuses a body that is too large as soon as the declared or received size exceeds the limit. */
export async function readBody ({ request, body, progress }: Exchange, maxBodyBytes: number): Promise<BodyOutcome> {
  const declaredBytes = request.headers['content-length']
  if (declaredBytes === undefined && request.headers['transfer-encoding'] === undefined) return { kind: 'read', body: EMPTY }
  if (Number(declaredBytes ?? 0) > maxBodyBytes) return refused(RefusalReason.BodyTooLarge, tooLarge(maxBodyBytes))
  const collected = await progress.race(body.whole(maxBodyBytes, progress.deadlineMs))
  const read = collected.kind === 'deadlinePassed' ? { kind: 'late' as const } : collected.value
  switch (read.kind) {
    case 'read':
      return read
    case 'tooLarge':
      return refused(RefusalReason.BodyTooLarge, tooLarge(maxBodyBytes))
    case 'noRoom':
      return refused(RefusalReason.HostOverloaded, 'this host has no room for the body')
    case 'late':
      return refused(RefusalReason.DeadlinePassed, 'the deadline passed while reading the request body')
    default:
      return unreachable(read)
  }
}

/** Rejects invalid UTF-8: with replacement characters, a prompt would differ from what the caller sent. */
const utf8 = new TextDecoder('utf-8', { fatal: true })

/** Parses the body as JSON; returns undefined if it is not valid JSON or not valid UTF-8. */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(utf8.decode(body))
  } catch {
    return undefined
  }
}

function tooLarge (maxBodyBytes: number): string {
  return `the request body is larger than ${maxBodyBytes} bytes`
}

function refused (reason: RefusalReason, message: string): BodyOutcome {
  return { kind: 'refused', refusal: { reason, executed: Executed.No, message } }
}
