import test from 'ava'
import type { QueuedWork } from '../../src/entry/scheduling/classQueue.js'
import { nextToDispatch, type DispatchCandidates } from '../../src/entry/scheduling/dispatchOrder.js'
import type { EndpointState } from '../../src/entry/scheduling/endpointState.js'
import { PrefixPopularity, homesFor, prefixKeys } from '../../src/entry/scheduling/prefixHomes.js'

const open = [{ endpointId: 'a' } as EndpointState]

function workWith (affinityWaitEndsAtMs: number): QueuedWork {
  return { affinityWaitEndsAtMs, skippedCount: 0 } as QueuedWork
}

function orderOf (waiting: QueuedWork[], homeOf: (work: QueuedWork) => string, nowMs = 0): DispatchCandidates {
  return nextToDispatch({ waiting, endpointsCount: 2, nowMs, openFor: () => open, homesOf: work => new Set([homeOf(work)]) })
}

test('should bound how often a request is skipped in favour of requests with a free home', t => {
  const first = workWith(1000)
  const others = Array.from({ length: 20 }, () => workWith(1000))
  let skips = 0
  while (skips < 20 && orderOf([first, others[skips]!], work => work === first ? 'b' : 'a').ready?.work !== first) skips += 1
  t.is(skips, 16)
})

test('should dispatch a request elsewhere only after its affinity wait has ended', t => {
  const work = workWith(1000)
  t.deepEqual(orderOf([work], () => 'b', 999), { fallback: undefined })
  t.is(orderOf([work], () => 'b', 1000).fallback?.work, work)
})

test('should give a prefix homes by its share of the traffic, and the same ones on every host', t => {
  const endpointIds = Array.from({ length: 10 }, (_, index) => `e${index}`)
  const homesAt = (shareOfTen: number): Set<string> => {
    const popularity = new PrefixPopularity()
    for (let index = 0; index < 1000; index++) popularity.record(prefixKeys(index % 10 < shareOfTen ? 'shared' : `other ${index}`), 0)
    return homesFor('shared', popularity, 0)!.among(endpointIds)
  }
  t.is(homesAt(0).size, 1)
  t.is(homesAt(4).size, 6)
  t.deepEqual(homesAt(4), homesAt(4))
  t.true([...homesAt(0)].every(name => homesAt(4).has(name)))
})

test('should use a longer prefix when nearly all of the traffic shares a short one', t => {
  const popularity = new PrefixPopularity()
  const system = 'The system prompt that every request begins with. '.repeat(6).slice(0, 256)
  for (let index = 0; index < 200; index++) popularity.record(prefixKeys(`${system}${index % 20} is what differs`), 0)
  const endpointIds = Array.from({ length: 10 }, (_, index) => `e${index}`)
  const homes = [...Array(20).keys()].map(index => [...homesFor(`${system}${index} is what differs`, popularity, 0)!.among(endpointIds)].join())
  t.true(new Set(homes).size > 3)
})

test('should let the popularity of unused prefixes decay', t => {
  const popularity = new PrefixPopularity()
  const [old, recent] = ['old', 'recent'].map(text => prefixKeys(text)[0]!)
  for (let index = 0; index < 50; index++) popularity.record([old!], 0)
  for (let index = 0; index < 50; index++) popularity.record([recent!], 300_000)
  t.true(popularity.shareOf(old!, 300_000) < 0.01)
  t.true(popularity.shareOf(recent!, 300_000) > 0.95)
})
