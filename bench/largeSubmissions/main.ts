/**
 * `node dist/bench/largeSubmissions/main.js [BYTES,...] [TRAINERS,...]`: what large
 * submissions take, for docs/CAPACITY.md. Bytes of one submission and numbers of
 * trainers at once; each pair is one run of 20 s.
 */
import { runLargeSubmissions, type LargeSubmissionsReport, type SubmissionAnswer } from './largeSubmissions.js'

const ROUNDS_COUNT = 5
const EVERY_MS = 4_000

function numbersOf (text: string | undefined, defaults: number[]): number[] {
  return text === undefined ? defaults : text.split(',').map(Number)
}

function answersText (answers: SubmissionAnswer[]): string {
  const accepted = answers.filter(({ status }) => status === 202).map(({ tookMs }) => tookMs).sort((left, right) => left - right)
  const others = answers.filter(({ status }) => status !== 202).map(({ status, tookMs }) => `${status ?? 'none'} in ${tookMs}`)
  return `${accepted.length} of ${answers.length} accepted in ${accepted[0] ?? '-'} to ${accepted.at(-1) ?? '-'} ms${others.length > 0 ? `; ${others.join(', ')} ms` : ''}`
}

function peaksText ({ peaks }: LargeSubmissionsReport): string {
  const programs = [...new Set(peaks.map(({ program }) => program))]
  return programs.map(program => {
    const own = peaks.filter(peak => peak.program === program)
    return `${program} ${Math.max(...own.map(({ anonymousMb }) => anonymousMb))} MB, ${Math.max(...own.map(({ loopDelayMs }) => loopDelayMs))} ms`
  }).join('; ')
}

for (const trainersCount of numbersOf(process.argv[3], [1, 3])) {
  for (const bodyBytes of numbersOf(process.argv[2], [1_000_000, 4_000_000, 8_000_000, 16_800_000, 33_000_000])) {
    const report = await runLargeSubmissions({ bodyBytes, trainersCount, roundsCount: ROUNDS_COUNT, everyMs: EVERY_MS })
    process.stdout.write(`${trainersCount} x ${bodyBytes} bytes: ${answersText(report.large)}; small: ${answersText(report.small)}; most memory and longest stall: ${peaksText(report)}; ended by themselves: ${report.ownEnds.join(', ') || 'none'}\n`)
  }
}
