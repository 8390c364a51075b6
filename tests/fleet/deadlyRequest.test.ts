/**
 * A request that ends every endpoint that runs it is sent to no more of them once
 * three have ended, from whatever host it is sent, and what runs beside it is served.
 *
 * Seen: a repeatable request came again and again, with the same caller, path and
 * body, at any host. Three endpoints had ended under it; it was sent on ten times
 * more, and 18 ended, four of four at a time. How it came about: each host tried it
 * on another endpoint when the first was lost, and with the answer all of that was
 * forgotten; an endpoint that was back under a new name at its address was a fresh
 * choice. Cause: what a request did to endpoints was remembered for one try of a
 * caller, by one host. Proved by the record: the caller's 502 came after as many ends
 * as the route allows attempts, and its next try did the same again elsewhere.
 */
import test, { type ExecutionContext } from 'ava'
import { RouteKind } from '../../src/protocol/routing.js'
import { DeadlyRequestWorld, type WorldOptions } from '../fixtures/fleet/deadlyRequestWorld.js'

/** What a deployment promises of hosts in touch: they know by then. */
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

test('should send a request under which three endpoints ended to no more of them, from any host', async t => {
  const world = await start(t)
  await world.load(RUN_MS, { deadlyEachMs: 350, innocentEachMs: 50 })
  t.true(world.deadlyEnds().length >= 3)
  const late = world.lateSends(CONTACT_MS)
  t.true(late.length <= MAX_LATE_SENDS_COUNT, `${late.length} sends later than ${CONTACT_MS} ms after the third end; ${world.deadlyEnds().length} ended`)
})

test('should serve the requests beside one that ends endpoints', async t => {
  const world = await start(t)
  await world.load(RUN_MS, { deadlyEachMs: 700, innocentEachMs: 20 })
  // All four endpoints may end before the third end is known, and are away for 1.5 s of the 15.
  t.true(world.innocentShare() >= 0.9, `${Math.round(100 * world.innocentShare())}% served; ${world.deadlyEnds().length} endpoints ended`)
})

test('should hold back a stream under which endpoints ended', async t => {
  const world = await start(t)
  await world.load(RUN_MS, { deadlyEachMs: 350, innocentEachMs: 50, changes: { kind: RouteKind.Stream, isResumable: true } })
  t.true(world.deadlyEnds().length >= 3)
  const late = world.lateSends(CONTACT_MS)
  t.true(late.length <= MAX_LATE_SENDS_COUNT, `${late.length} sends later than ${CONTACT_MS} ms after the third end; ${world.deadlyEnds().length} ended`)
})
