/**
 * Reading the body of a request within limits of size and time.
 */
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import type { Exchange } from './route.js'

export type BodyOutcome = { kind: 'read', body: Buffer } | { kind: 'refused', refusal: Refusal }

const EMPTY = Buffer.alloc(0)

/** Reads the whole body; one that is too large is refused as soon as that is known. */
export async function readBody (exchange: Exchange, maxBodyBytes: number): Promise<BodyOutcome> {
  const { request, progress } = exchange
  const declaredBytes = request.headers['content-length']
  if (declaredBytes === undefined && request.headers['transfer-encoding'] === undefined) return { kind: 'read', body: EMPTY }
  if (Number(declaredBytes ?? 0) > maxBodyBytes) return refused(RefusalReason.BodyTooLarge, tooLarge(maxBodyBytes))
  const collected = await progress.race(collect(exchange, maxBodyBytes))
  if (collected.kind === 'deadlinePassed') return refused(RefusalReason.DeadlinePassed, 'the deadline passed while the body was read')
  if (collected.value === undefined) return refused(RefusalReason.BodyTooLarge, tooLarge(maxBodyBytes))
  return { kind: 'read', body: collected.value }
}

/** Replaces nothing: a prompt with bytes put in by the decoder is one that its caller never sent. */
const utf8 = new TextDecoder('utf-8', { fatal: true })

/** The body as JSON, or undefined if it is none, or no UTF-8. */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(utf8.decode(body))
  } catch {
    return undefined
  }
}

function tooLarge (maxBodyBytes: number): string {
  return `the body is larger than ${maxBodyBytes} bytes`
}

function refused (reason: RefusalReason, message: string): BodyOutcome {
  return { kind: 'refused', refusal: { reason, executed: Executed.No, message } }
}

/** Undefined when there is more than allowed; never settles if the caller goes, which closes the scope. */
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
