/**
 * The identity of the output of an item: a digest over its parts. Runs of one item at
 * several engines sample different texts of the same length, so that a count of events
 * does not tell which of them an output continues. The digest follows from the parts
 * alone: it needs no place in snapshots, and every host computes the same one.
 */
import { createHash } from 'node:crypto'
import type { OutputPart } from '../protocol/batches.js'

/** Digest of an output without events. */
export const EMPTY_OUTPUT_DIGEST = ''

/** Digest of an output that continues with a part. */
export function digestAfter (digest: string, { deflatedText }: OutputPart): string {
  return createHash('sha1').update(digest).update(deflatedText).digest('base64')
}

/** Digest of an output that continues with some parts. */
export function digestAfterAll (digest: string, parts: readonly OutputPart[]): string {
  return parts.reduce(digestAfter, digest)
}
