/**
 * JSON bodies of the operator API.
 */
import type { ServerResponse } from 'node:http'
import type { z } from 'zod'
import { problemStatus, type RequestBody } from '../../clients/requestBody.js'
import { unreachable } from '../../utils/errors.js'
import { jsonWeightBytes } from '../../utils/jsonWeight.js'

export interface Answer {
  status: number
  body: unknown
}

export type BodyOutcome<T> = { kind: 'body', body: T } | { kind: 'malformed', status: number, message: string }

const MAX_BODY_BYTES = 4 * 1024 * 1024
/** Of the values that a body is parsed to. */
const MAX_PARSED_BYTES = 24 * 1024 * 1024

/** @param deadlineMs monotonic; until the body has arrived */
export async function readBody<S extends z.ZodType> (body: RequestBody, deadlineMs: number, schema: S): Promise<BodyOutcome<z.output<S>>> {
  const read = await body.whole(MAX_BODY_BYTES, deadlineMs)
  switch (read.kind) {
    case 'read':
      return parseBody(read.body, schema)
    case 'tooLarge':
      return { kind: 'malformed', status: 400, message: `the body is over ${MAX_BODY_BYTES} bytes` }
    case 'noRoom':
    case 'late':
      return { kind: 'malformed', status: problemStatus[read.kind], message: read.kind === 'late' ? 'the body did not arrive in time' : 'this host has no room for the body' }
    default:
      return unreachable(read)
  }
}

export function sendJson (response: ServerResponse, { status, body }: Answer): void {
  const text = `${JSON.stringify(body)}\n`
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

function parseBody<S extends z.ZodType> (body: Buffer, schema: S): BodyOutcome<z.output<S>> {
  if (jsonWeightBytes(body) > MAX_PARSED_BYTES) return { kind: 'malformed', status: 400, message: 'the body has too many values' }
  let raw: unknown
  try {
    raw = JSON.parse(body.toString('utf8'))
  } catch (error) {
    return { kind: 'malformed', status: 400, message: `the body is not JSON: ${(error as Error).message}` }
  }
  const parsed = schema.safeParse(raw)
  if (parsed.success) return { kind: 'body', body: parsed.data }
  const issue = parsed.error.issues[0]
  return { kind: 'malformed', status: 400, message: `${issue?.path.join('.')}: ${issue?.message}` }
}
