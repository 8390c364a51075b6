/**
 * Compares the weight versions that samples claim with the records of the
 * engines that generated them.
 */
import type { Sample, VersionSpan } from '../src/protocol/trainers.js'
import type { GenerationEntry } from './generationRecord.js'

/** Records of all engines, read from GET /record of each. */
export type EngineRecords = GenerationEntry[]

/** Returns one line per version span that no engine record confirms; empty if all versions are correct. */
export function findVersionMismatches (samples: readonly Sample[], records: EngineRecords): string[] {
  const entriesByPrompt = new Map<string, GenerationEntry[]>()
  for (const entry of records) entriesByPrompt.set(entry.prompt, [...entriesByPrompt.get(entry.prompt) ?? [], entry])
  return samples.flatMap(sample => {
    const entries = entriesByPrompt.get(sample.prompt) ?? []
    const unconfirmed = sample.versions.filter(span => !entries.some(entry => hasGenerated(entry, sample, span)))
    return unconfirmed.map(span => `position ${sample.position}: no engine record has tokens ${span.fromToken} to ${span.toToken} under version ${span.weightVersion} and engine id ${span.engineId}`)
  })
}

function hasGenerated (entry: GenerationEntry, sample: Sample, span: VersionSpan): boolean {
  const isCovered = entry.spans.some(recorded =>
    recorded.engineId === span.engineId &&
    recorded.engineIncarnation === span.engineIncarnation &&
    recorded.weightVersion === span.weightVersion &&
    recorded.fromToken <= span.fromToken &&
    recorded.toToken >= span.toToken)
  if (!isCovered) return false
  const start = span.fromToken - entry.resumedFromToken
  const generated = entry.tokens.slice(start, start + span.toToken - span.fromToken)
  return generated.join('') === sample.tokens.slice(span.fromToken, span.toToken).join('')
}
