import test from 'ava'
import { QuarantineState } from '../../src/control/routing/quarantineState.js'
import { QUARANTINE_MS, QuarantineVerdict } from '../../src/protocol/quarantine.js'

function digest (letter: string): string {
  return letter.repeat(32)
}

const CRASHING = digest('d')
const HARMLESS = digest('1')

function recordedState (...ends: Array<[string, ...string[]]>): QuarantineState {
  const state = new QuarantineState()
  ends.forEach(([endpointId, ...digests], position) => state.record([{ endpointId, digests }], position))
  return state
}

function verdicts (state: QuarantineState): Record<string, QuarantineVerdict> {
  return Object.fromEntries(state.since(0).map(({ digest: known, verdict }) => [known, verdict]))
}

test('should condemn a request with the third endpoint that ends under it, whoever saw the ends', t => {
  const state = recordedState(['e1', CRASHING], ['e2', CRASHING])
  t.deepEqual(verdicts(state), { [CRASHING]: QuarantineVerdict.Suspected })
  state.record([{ endpointId: 'e2', digests: [CRASHING] }], 5)
  t.deepEqual(verdicts(state), { [CRASHING]: QuarantineVerdict.Suspected }, 'a second host saw the same end')
  state.record([{ endpointId: 'e3', digests: [CRASHING] }], 6)
  t.deepEqual(verdicts(state), { [CRASHING]: QuarantineVerdict.Condemned })
})

test('should not publish a request that was at one end only', t => {
  t.deepEqual(recordedState(['e1', CRASHING, HARMLESS]).since(0), [])
})

test('should not condemn a request that shared two ends with a condemned one and has one other end', t => {
  const state = recordedState(['e1', CRASHING, HARMLESS], ['e2', CRASHING, HARMLESS], ['e3', CRASHING], ['e9', HARMLESS])
  t.deepEqual(verdicts(state), { [CRASHING]: QuarantineVerdict.Condemned, [HARMLESS]: QuarantineVerdict.Suspected })
})

test('should not let a request that shared all of its ends shield the one that caused them', t => {
  const state = recordedState(['e1', HARMLESS, CRASHING], ['e2', HARMLESS, CRASHING], ['e3', HARMLESS], ['e3', CRASHING])
  t.is(verdicts(state)[CRASHING], QuarantineVerdict.Condemned)
})

test('should stop condemning a request when another one accounts for all of its ends and has more', t => {
  const state = recordedState(['e1', HARMLESS, CRASHING], ['e2', HARMLESS, CRASHING], ['e3', HARMLESS, CRASHING])
  t.is(verdicts(state)[HARMLESS], QuarantineVerdict.Condemned)
  state.record([{ endpointId: 'e4', digests: [CRASHING] }], 9)
  t.deepEqual(verdicts(state), { [HARMLESS]: QuarantineVerdict.Suspected, [CRASHING]: QuarantineVerdict.Condemned })
})

test('should clear a request that was answered, and publish that to hosts that know of it', t => {
  const state = recordedState(['e1', HARMLESS], ['e2', HARMLESS])
  const publishedNumber = state.lastNumber
  state.clear([HARMLESS, digest('7')], 3)
  t.deepEqual(state.since(publishedNumber).map(({ verdict }) => verdict), [QuarantineVerdict.Cleared])
  state.record([{ endpointId: 'e3', digests: [HARMLESS] }], 4)
  t.is(verdicts(state)[HARMLESS], QuarantineVerdict.Cleared, 'the count starts again')
  t.deepEqual(state.all(), [])
})

test('should discard old ends, but condemn a request again after one more end if it was condemned before', t => {
  const state = recordedState(['e1', HARMLESS], ['e1', CRASHING], ['e2', CRASHING], ['e3', CRASHING])
  const laterMs = 2 * QUARANTINE_MS
  state.record([{ endpointId: 'e8', digests: [HARMLESS] }, { endpointId: 'e9', digests: [CRASHING] }], laterMs)
  t.deepEqual(verdicts(state), { [CRASHING]: QuarantineVerdict.Condemned })
  t.is(state.since(0)[0]?.endedAtMs, laterMs)
})

test('should stay within its size limit, and keep condemned requests longest', t => {
  const state = recordedState(['e1', CRASHING], ['e2', CRASHING], ['e3', CRASHING])
  for (let number = 0; number < 2_000; number++) state.record([{ endpointId: `x${number}`, digests: [String(number).padStart(32, '0')] }], number)
  t.true(JSON.stringify(state.snapshot()).length < 250_000)
  t.is(verdicts(state)[CRASHING], QuarantineVerdict.Condemned)
  state.record([{ endpointId: 'e4', digests: [CRASHING] }], 3_000)
  t.is(state.since(0)[0]?.endpointIds.length, 4)
})

test('should restore the complete state from a snapshot', t => {
  const state = recordedState(['e1', CRASHING, HARMLESS], ['e2', CRASHING], ['e3', CRASHING])
  const other = new QuarantineState()
  other.restore(structuredClone(state.snapshot()))
  t.deepEqual(other.snapshot(), state.snapshot())
  other.record([{ endpointId: 'e2', digests: [HARMLESS] }], 9)
  t.is(verdicts(other)[HARMLESS], QuarantineVerdict.Suspected)
})
