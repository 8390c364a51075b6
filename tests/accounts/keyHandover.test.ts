import test from 'ava'
import { KeyHandover, type HandoverOptions } from '../fixtures/keyHandover.js'

const SEEDS_COUNT = 60
const lenient = { isRevocationStrict: false, revokeMs: 5_000 }
const strict = { isRevocationStrict: true, revokeMs: 5_000 }

function violationsOf (options: HandoverOptions): { violations: string[], callsCount: number } {
  const runs = Array.from({ length: SEEDS_COUNT }, (_, seed) => new KeyHandover(seed + 1, options).run())
  return { violations: runs.flatMap(({ violations }) => violations), callsCount: runs.reduce((sum, run) => sum + run.callsCount, 0) }
}

for (const [name, policy] of [['lenient', lenient], ['strict', strict]] as const) {
  test(`should refuse no good key, and let none outlive its removal, over hand-overs and cuts where revocation is ${name}`, t => {
    const { violations, callsCount } = violationsOf({ policy })
    t.true(callsCount > 10_000)
    t.deepEqual(violations, [])
  })
}

// Guards against a host that was cut off refusing keys for good that were added meanwhile.
test('should fail the model with hosts that believe they are always in touch', t => {
  const { violations } = violationsOf({ policy: lenient, outOfTouchMs: () => 0 })
  t.true(violations.some(text => text.startsWith('a good key was refused for good')))
})

// Guards against strict revocation that nobody applies.
test('should fail the model where strict revocation is not applied', t => {
  const { violations } = violationsOf({ policy: strict, outOfTouchMs: trueMs => Math.min(trueMs, strict.revokeMs) })
  t.true(violations.some(text => text.startsWith('a key outlived its removal beyond the strict bound')))
})
