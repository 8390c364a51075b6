import test from 'ava'
import { NotedEnds } from '../../src/control/routing/notedEnds.js'
import { QUARANTINE_MS, QuarantineVerdict } from '../../src/protocol/quarantine.js'

function digest (letter: string): string {
  return letter.repeat(32)
}

const DEADLY = digest('d')
const INNOCENT = digest('1')

function noted (...ends: Array<[string, ...string[]]>): NotedEnds {
  const state = new NotedEnds()
  ends.forEach(([endpointId, ...digests], position) => state.record([{ endpointId, digests }], position))
  return state
}

function verdicts (state: NotedEnds): Record<string, QuarantineVerdict> {
  return Object.fromEntries(state.since(0).map(({ digest: known, verdict }) => [known, verdict]))
}

test('should condemn a request with the third endpoint that ends under it, whoever saw the ends', t => {
  const state = noted(['e1', DEADLY], ['e2', DEADLY])
  t.deepEqual(verdicts(state), { [DEADLY]: QuarantineVerdict.Suspected })
  state.record([{ endpointId: 'e2', digests: [DEADLY] }], 5)
  t.deepEqual(verdicts(state), { [DEADLY]: QuarantineVerdict.Suspected }, 'a second host saw the same end')
  state.record([{ endpointId: 'e3', digests: [DEADLY] }], 6)
  t.deepEqual(verdicts(state), { [DEADLY]: QuarantineVerdict.Condemned })
})

test('should tell nobody of a request that was at one end only', t => {
  t.deepEqual(noted(['e1', DEADLY, INNOCENT]).since(0), [])
})

test('should not condemn what shared two ends with a condemned request and was at a third by chance', t => {
  const state = noted(['e1', DEADLY, INNOCENT], ['e2', DEADLY, INNOCENT], ['e3', DEADLY], ['e9', INNOCENT])
  t.deepEqual(verdicts(state), { [DEADLY]: QuarantineVerdict.Condemned, [INNOCENT]: QuarantineVerdict.Suspected })
})

test('should not let a request that shared all of its ends shield the one that caused them', t => {
  const state = noted(['e1', INNOCENT, DEADLY], ['e2', INNOCENT, DEADLY], ['e3', INNOCENT], ['e3', DEADLY])
  t.is(verdicts(state)[DEADLY], QuarantineVerdict.Condemned)
})

test('should let go of a request whose ends are all explained by one that ended more', t => {
  const state = noted(['e1', INNOCENT, DEADLY], ['e2', INNOCENT, DEADLY], ['e3', INNOCENT, DEADLY])
  t.is(verdicts(state)[INNOCENT], QuarantineVerdict.Condemned)
  state.record([{ endpointId: 'e4', digests: [DEADLY] }], 9)
  t.deepEqual(verdicts(state), { [INNOCENT]: QuarantineVerdict.Suspected, [DEADLY]: QuarantineVerdict.Condemned })
})

test('should clear a request that was answered, and tell whoever was told of it', t => {
  const state = noted(['e1', INNOCENT], ['e2', INNOCENT])
  const toldNumber = state.lastNumber
  state.clear([INNOCENT, digest('7')], 3)
  t.deepEqual(state.since(toldNumber).map(({ verdict }) => verdict), [QuarantineVerdict.Cleared])
  state.record([{ endpointId: 'e3', digests: [INNOCENT] }], 4)
  t.is(verdicts(state)[INNOCENT], QuarantineVerdict.Cleared, 'it begins anew')
  t.deepEqual(state.all(), [])
})

test('should forget ends that are long ago, but condemn again with one end what was condemned', t => {
  const state = noted(['e1', INNOCENT], ['e1', DEADLY], ['e2', DEADLY], ['e3', DEADLY])
  const laterMs = 2 * QUARANTINE_MS
  state.record([{ endpointId: 'e8', digests: [INNOCENT] }, { endpointId: 'e9', digests: [DEADLY] }], laterMs)
  t.deepEqual(verdicts(state), { [DEADLY]: QuarantineVerdict.Condemned })
  t.is(state.since(0)[0]?.endedAtMs, laterMs)
})

test('should keep within its bound, and condemned requests longest', t => {
  const state = noted(['e1', DEADLY], ['e2', DEADLY], ['e3', DEADLY])
  for (let number = 0; number < 2_000; number++) state.record([{ endpointId: `x${number}`, digests: [String(number).padStart(32, '0')] }], number)
  t.true(JSON.stringify(state.snapshot()).length < 250_000)
  t.is(verdicts(state)[DEADLY], QuarantineVerdict.Condemned)
  state.record([{ endpointId: 'e4', digests: [DEADLY] }], 3_000)
  t.is(state.since(0)[0]?.endpointIds.length, 4)
})

test('should hold everything in a snapshot', t => {
  const state = noted(['e1', DEADLY, INNOCENT], ['e2', DEADLY], ['e3', DEADLY])
  const other = new NotedEnds()
  other.restore(structuredClone(state.snapshot()))
  t.deepEqual(other.snapshot(), state.snapshot())
  other.record([{ endpointId: 'e2', digests: [INNOCENT] }], 9)
  t.is(verdicts(other)[INNOCENT], QuarantineVerdict.Suspected)
})
