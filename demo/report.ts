/** Formats the output of the demo: progress, samples, and steps with their idle time. */
import Table from 'cli-table3'
import type { z } from 'zod'
import type { trainerRecordSchema } from '../standins/recordSchemas.js'
import { oldestVersion } from '../standins/trainerChecks.js'

type TrainerRecord = z.output<typeof trainerRecordSchema>

const MAX_TEXT_CHARS = 32
const STYLE = { head: [], border: [], compact: true }

export function printLine (line: string): void {
  process.stdout.write(`${line}\n`)
}

export function progressLine ({ steps, samples, trainerVersion }: TrainerRecord, stepsCount: number, samplesPerStepCount: number): string {
  const total = stepsCount * samplesPerStepCount
  return `  training: ${samples.length} of ${total} samples, ${steps.length} of ${stepsCount} steps complete, trainer at version ${trainerVersion}`
}

/** Lists samples with the weight versions that generated them and their staleness at delivery. */
export function samplesTable ({ samples, staleness }: TrainerRecord): string {
  const table = new Table({ head: ['position', 'step', 'group', 'index', 'tokens', 'versions', 'staleness', 'score', 'card'], style: STYLE })
  samples.forEach((sample, index) => {
    const versions = sample.versions.map(({ weightVersion, engineId }) => `${weightVersion}@${engineId}`)
    table.push([
      sample.position,
      sample.step,
      sample.group,
      sample.index,
      sample.tokens.length,
      versions.join(' '),
      staleness[index] ?? '-',
      sample.score?.toFixed(2) ?? '-',
      sample.prompt.slice(0, MAX_TEXT_CHARS)
    ])
  })
  return table.toString()
}

export function stepsTable ({ steps, samples }: TrainerRecord): string {
  const table = new Table({ head: ['step', 'samples', 'trainer version', 'oldest version', 'idle time (ms)'], style: STYLE })
  for (const { step, samplesCount, trainerVersion, idleMs } of steps) {
    const oldest = Math.min(...samples.filter(sample => sample.step === step).map(oldestVersion))
    table.push([step, samplesCount, trainerVersion, oldest, Math.round(idleMs)])
  }
  return table.toString()
}
