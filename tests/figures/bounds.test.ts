import test from 'ava'
import type { BenchResult } from '../../bench/benchResult.js'
import { areas } from '../../bench/areas.js'
import { checkBounds, describeVerdict, passes, readBounds, unboundedAreas, type Bound } from '../../bench/bounds.js'

const bound: Bound = { name: 'transport.bytes', max: 100, reading: 90, commit: '0123abc' }

function verdictOf (value: number, unit: BenchResult['unit'] = 'bytes', name = bound.name) {
  return checkBounds([bound], [{ name, value, unit }], ['transport'])[0]!
}

test('should pass a result at its bound and fail one above it', t => {
  t.true(passes(verdictOf(100)))
  t.is(verdictOf(101).kind, 'broken')
  t.is(verdictOf(NaN).kind, 'broken')
  t.regex(describeVerdict(verdictOf(150)), /FAIL .*bound max 100, ratio to bound 1\.500, read 90 at 0123abc/)
})

test('should fail if the run has no result for a bound', t => {
  t.is(verdictOf(1, 'bytes', 'transport.other').kind, 'missing')
})

test('should reject a bound on a result that depends on the machine', t => {
  t.is(verdictOf(1, 'us').kind, 'notBoundable')
})

test('should skip the bounds of areas that did not run', t => {
  t.deepEqual(checkBounds([bound], [], ['control']), [])
})

test('should refer to a known area in every stored bound', t => {
  const bounds = readBounds()
  t.true(bounds.length > 0)
  for (const { name } of bounds) t.true((name.split('.')[0] ?? '') in areas, name)
})

test('should list the areas that have no bound', t => {
  t.deepEqual(unboundedAreas([bound], ['transport', 'rollouts']), ['rollouts'])
})

test('should have a bound for the rollouts', t => {
  t.deepEqual(unboundedAreas(readBounds(), ['rollouts']), [])
})
