/**
 * JSON bodies of the operator API.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { z } from 'zod'

export interface Answer {
  status: number
  body: unknown
}

export type BodyOutcome<T> = { kind: 'body', body: T } | { kind: 'malformed', message: string }

const MAX_BODY_BYTES = 4 * 1024 * 1024

export async function readBody<S extends z.ZodType> (request: IncomingMessage, schema: S): Promise<BodyOutcome<z.output<S>>> {
  const chunks: Buffer[] = []
  let lengthBytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    lengthBytes += chunk.length
    if (lengthBytes > MAX_BODY_BYTES) return { kind: 'malformed', message: `the body is over ${MAX_BODY_BYTES} bytes` }
    chunks.push(chunk)
  }
  return parseBody(Buffer.concat(chunks).toString('utf8'), schema)
}

export function sendJson (response: ServerResponse, { status, body }: Answer): void {
  const text = `${JSON.stringify(body)}\n`
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

function parseBody<S extends z.ZodType> (text: string, schema: S): BodyOutcome<z.output<S>> {
  let raw: unknown
  try {
    raw = JSON.parse(text)
  } catch (error) {
    return { kind: 'malformed', message: `the body is not JSON: ${(error as Error).message}` }
  }
  const parsed = schema.safeParse(raw)
  if (parsed.success) return { kind: 'body', body: parsed.data }
  const issue = parsed.error.issues[0]
  return { kind: 'malformed', message: `${issue?.path.join('.')}: ${issue?.message}` }
}
