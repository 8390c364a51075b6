/**
 * Synthetic text: each token depends only on the request, its index and the
 * weight version, so runs are reproducible and a checker can detect a token
 * that was changed in transit.
 */
import { createHash } from 'node:crypto'

const WORDS = [
  'de', 'kaart', 'dijk', 'gemaal', 'sluis', 'polder', 'fiets', 'brug', 'water', 'peil', 'afval', 'papier', 'glas', 'buurt',
  'raad', 'stem', 'haspel', 'kabel', 'depot', 'huur', 'dag', 'week', 'lever', 'retour', 'vraag', 'oefen', 'hint', 'woord'
]

const MIN_LENGTH = 4

function hash (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Token at an index of the complete answer. */
export function tokenAt (prompt: string, seed: string, weightVersion: number, index: number): string {
  const digest = hash(`${prompt}|${seed}|${weightVersion}|${index}`)
  return `${WORDS[digest.readUInt32BE(0) % WORDS.length]} `
}

/**
 * Number of tokens of the answer, from a heavy-tailed (Pareto) distribution,
 * capped at the limit of the request.
 * @param meanTokensCount mean of the distribution before the cap
 */
export function answerLength (prompt: string, seed: string, meanTokensCount: number, maxTokensCount: number): number {
  const digest = hash(`length|${prompt}|${seed}`)
  const uniform = (digest.readUInt32BE(0) + 1) / 0x1_0000_0001
  const TAIL_EXPONENT = 1.6
  const scale = meanTokensCount * (TAIL_EXPONENT - 1) / TAIL_EXPONENT
  const length = Math.round(scale / Math.pow(uniform, 1 / TAIL_EXPONENT))
  return Math.max(1, Math.min(maxTokensCount, Math.max(MIN_LENGTH, length)))
}
