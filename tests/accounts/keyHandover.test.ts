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
  test(`should refuse no valid key and admit no revoked one, over key hand-overs and partitions, where revocation is ${name}`, t => {
    const { violations, callsCount } = violationsOf({ policy })
    t.true(callsCount > 10_000)
    t.deepEqual(violations, [])
  })
}

// Guards against a disconnected host that definitively refuses keys that were added meanwhile.
test('should detect hosts that always consider themselves connected', t => {
  const { violations } = violationsOf({ policy: lenient, disconnectedMs: () => 0 })
  t.true(violations.some(text => text.startsWith('a valid key was refused definitively')))
})

// Guards against a strict revocation setting without effect.
test('should detect hosts that do not apply strict revocation', t => {
  const { violations } = violationsOf({ policy: strict, disconnectedMs: trueMs => Math.min(trueMs, strict.revokeMs) })
  t.true(violations.some(text => text.startsWith('a revoked key was admitted beyond the strict bound')))
})
