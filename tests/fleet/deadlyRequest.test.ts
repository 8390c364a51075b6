/**
 * A request that terminates every endpoint that runs it must not be sent to any more
 * of them once three have terminated, whichever host receives it, and the requests
 * beside it must be served.
 *
 * Guards against terminations being remembered only for one try of a caller, by one
 * host: a repeatable request with the same caller, path and body arrived again and
 * again at any host. After three terminations it was sent another ten times, and 18
 * endpoints terminated, four of four at a time. Each host tried it on another endpoint
 * when the first was lost, up to the attempts that the route allows, and forgot it with
 * the 502 to the caller; an endpoint that was back at its address under a new name
 * counted as a new choice.
 */
import test, { type ExecutionContext } from 'ava'
import { RefusalReason } from '../../src/protocol/refusals.js'
import { RouteKind } from '../../src/protocol/routing.js'
import { DeadlyRequestWorld, OWED_PREFIX, type WorldOptions } from '../fixtures/fleet/deadlyRequestWorld.js'

/** Required bound within which connected hosts know of a condemned request. */
const CONTACT_MS = 3_000
const MAX_LATE_SENDS_COUNT = 3
const RUN_MS = 15_000

async function start (t: ExecutionContext, options: Partial<WorldOptions> = {}): Promise<DeadlyRequestWorld> {
  const world = await new DeadlyRequestWorld({ seed: 11, ...options }).start()
  t.teardown(() => {
    world.stop()
    if (world.control.failures.length > 0) throw new Error(world.control.failures.join('\n'))
  })
  return world
}

test('should not send a request that terminated three endpoints to any more of them, from any host', async t => {
  const world = await start(t)
  await world.load(RUN_MS, { deadlyEachMs: 350, innocentEachMs: 50 })
  t.true(world.deadlyEnds().length >= 3)
  const late = world.lateSends(CONTACT_MS)
  t.true(late.length <= MAX_LATE_SENDS_COUNT, `${late.length} sends later than ${CONTACT_MS} ms after the third termination; ${world.deadlyEnds().length} endpoints terminated`)
})

test('should serve the requests beside one that terminates endpoints', async t => {
  const world = await start(t)
  await world.load(RUN_MS, { deadlyEachMs: 700, innocentEachMs: 20 })
  // All four endpoints may terminate before the third termination is known, and are down for 1.5 s of the 15.
  t.true(world.innocentShare() >= 0.9, `${Math.round(100 * world.innocentShare())}% served; ${world.deadlyEnds().length} endpoints terminated`)
})

test('should withhold a stream that terminated endpoints', async t => {
  const world = await start(t)
  await world.load(RUN_MS, { deadlyEachMs: 350, innocentEachMs: 50, changes: { kind: RouteKind.Stream, isResumable: true } })
  t.true(world.deadlyEnds().length >= 3)
  const late = world.lateSends(CONTACT_MS)
  t.true(late.length <= MAX_LATE_SENDS_COUNT, `${late.length} sends later than ${CONTACT_MS} ms after the third termination; ${world.deadlyEnds().length} endpoints terminated`)
})

// Work that was handed in for later was withheld with the request that it ran beside.
test('should condemn a deadly request at the same bound beside owed work, and withhold none of that', async t => {
  const world = await start(t)
  await world.load(RUN_MS, { deadlyEachMs: 350, innocentEachMs: 50, owedCount: 3 })
  t.true(world.deadlyEnds().length >= 3)
  t.true(world.deadlyEnds().some(({ paths }) => paths.some(path => path.startsWith(OWED_PREFIX))), 'owed work ran beside it')
  const late = world.lateSends(CONTACT_MS)
  t.true(late.length <= MAX_LATE_SENDS_COUNT, `${late.length} sends later than ${CONTACT_MS} ms after the third termination; ${world.deadlyEnds().length} endpoints terminated`)
  const owed = world.served.filter(({ path }) => path.startsWith(OWED_PREFIX))
  t.deepEqual(owed.filter(({ outcome }) => outcome.kind === 'refused' && outcome.reason === RefusalReason.Quarantined), [])
  t.true(world.innocentShare() >= 0.9, `${Math.round(100 * world.innocentShare())}% served`)
  for (const { following } of world.hosts) t.is(following.view.quarantine.condemnedDigests().length, 1)
})
