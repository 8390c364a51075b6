/**
 * Reads request bodies within limits of size and time.
 */
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import type { Exchange } from './route.js'

export type BodyOutcome = { kind: 'read', body: Buffer } | { kind: 'refused', refusal: Refusal }

const EMPTY = Buffer.alloc(0)

/** Reads the complete body; refuses a body that is too large as soon as the declared or received size exceeds the limit. */
export async function readBody (exchange: Exchange, maxBodyBytes: number): Promise<BodyOutcome> {
  const { request, progress } = exchange
  const declaredBytes = request.headers['content-length']
  if (declaredBytes === undefined && request.headers['transfer-encoding'] === undefined) return { kind: 'read', body: EMPTY }
  if (Number(declaredBytes ?? 0) > maxBodyBytes) return refused(RefusalReason.BodyTooLarge, tooLarge(maxBodyBytes))
  const collected = await progress.race(collect(exchange, maxBodyBytes))
  if (collected.kind === 'deadlinePassed') return refused(RefusalReason.DeadlinePassed, 'the deadline passed while reading the request body')
  if (collected.value === undefined) return refused(RefusalReason.BodyTooLarge, tooLarge(maxBodyBytes))
  return { kind: 'read', body: collected.value }
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

/**
 * Collects the body; resolves with undefined if the body exceeds the limit. Never
 * settles if the caller disconnects, which closes the scope of the request.
 */
function collect ({ request }: Exchange, maxBodyBytes: number): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let receivedBytes = 0
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes > maxBodyBytes) {
        request.pause()
        request.removeAllListeners('data')
        return resolve(undefined)
      }
      chunks.push(chunk)
    })
    request.on('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)))
    request.on('error', () => {})
  })
}
