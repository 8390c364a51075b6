import test from 'ava'
import { expectedRestCount, LengthSpread, tailRestCount, type LengthEvidence } from '../../src/batchScheduling/lengthForecast.js'
import { seededRandom } from '../../src/utils/randomSource.js'

/** Lengths that are log-normal about their hints with a spread of 0.5, as the known trainers' are. */
const SPREAD = 0.5
const SAMPLES_COUNT = 20_000

function evidence (changes: Partial<LengthEvidence> = {}): LengthEvidence {
  return { hintedCount: 20, generatedCount: 0, longestCount: 0, spread: SPREAD, ...changes }
}

function drawnLengths (hintedCount: number): number[] {
  const random = seededRandom(3)
  return Array.from({ length: SAMPLES_COUNT }, () => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.real())) * Math.cos(2 * Math.PI * random.real())
    return hintedCount * Math.exp(SPREAD * normal)
  })
}

test('should expect the mean rest of the lengths that remain, however far a run has come', t => {
  const lengths = drawnLengths(20)
  for (const generatedCount of [0, 10, 20, 40]) {
    const remaining = lengths.filter(length => length > generatedCount).map(length => length - generatedCount)
    const meanCount = remaining.reduce((sum, count) => sum + count, 0) / remaining.length
    const ratio = expectedRestCount(evidence({ generatedCount })) / meanCount
    t.true(ratio > 0.95 && ratio < 1.05, `${ratio} after ${generatedCount} events`)
  }
})

test('should expect more of a run the further it has passed its hint', t => {
  const restCounts = [30, 50, 80, 120, 200].map(generatedCount => expectedRestCount(evidence({ generatedCount })))
  for (const [position, restCount] of restCounts.entries()) t.true(restCount > (restCounts[position - 1] ?? 0), `${restCounts.join(', ')}`)
})

test('should expect no more than the longest sample that was seen', t => {
  t.is(expectedRestCount(evidence({ hintedCount: 300, longestCount: 150 })), 150)
  t.is(expectedRestCount(evidence({ hintedCount: 300, generatedCount: 100, longestCount: 150 })), 50)
})

test('should name a rest that nine of ten lengths stay within', t => {
  const tailCount = tailRestCount(evidence())
  const exceedingShare = drawnLengths(20).filter(length => length > tailCount).length / SAMPLES_COUNT
  t.true(exceedingShare > 0.09 && exceedingShare < 0.11, `${exceedingShare}`)
  t.true(tailRestCount(evidence({ generatedCount: 100 })) >= expectedRestCount(evidence({ generatedCount: 100 })))
})

test('should learn the spread of a model from its finished items', t => {
  const exact = new LengthSpread()
  const poor = new LengthSpread()
  t.is(exact.value, SPREAD)
  for (let item = 0; item < 1_000; item++) {
    exact.record(20, 20)
    poor.record(20, item % 2 === 0 ? 44 : 9)
  }
  t.is(exact.value, 0.2)
  t.true(poor.value > 0.7 && poor.value < 0.85, `${poor.value}`)
})
