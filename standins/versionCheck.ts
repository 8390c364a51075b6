/**
 * Compares what samples say of their versions with the records of the engines
 * that made them.
 */
import type { Sample, VersionSpan } from '../src/protocol/trainers.js'
import type { GenerationEntry } from './generationRecord.js'

/** Records of all engines, read from GET /record of each. */
export type EngineRecords = GenerationEntry[]

/** Says what is untrue, one line each; nothing when all versions are true. */
export function findFalseVersions (samples: readonly Sample[], records: EngineRecords): string[] {
  const entriesByPrompt = new Map<string, GenerationEntry[]>()
  for (const entry of records) entriesByPrompt.set(entry.prompt, [...entriesByPrompt.get(entry.prompt) ?? [], entry])
  return samples.flatMap(sample => {
    const entries = entriesByPrompt.get(sample.prompt) ?? []
    const untrue = sample.versions.filter(span => !entries.some(entry => made(entry, sample, span)))
    return untrue.map(span => `position ${sample.position}: no engine made tokens ${span.fromToken} to ${span.toToken} under version ${span.weightVersion} as ${span.engineId}`)
  })
}

function made (entry: GenerationEntry, sample: Sample, span: VersionSpan): boolean {
  const isCovered = entry.spans.some(own =>
    own.engineId === span.engineId &&
    own.engineIncarnation === span.engineIncarnation &&
    own.weightVersion === span.weightVersion &&
    own.fromToken <= span.fromToken &&
    own.toToken >= span.toToken)
  if (!isCovered) return false
  const start = span.fromToken - entry.resumedFromToken
  const own = entry.tokens.slice(start, start + span.toToken - span.fromToken)
  return own.join('') === sample.tokens.slice(span.fromToken, span.toToken).join('')
}
