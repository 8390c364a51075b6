import fc from 'fast-check'
import test from 'ava'
import { FairShare, classShares } from '../../src/entry/scheduling/fairShare.js'
import { priorityClassSpecSchema } from '../../src/protocol/resources.js'
import { SchedulingFixture } from '../fixtures/schedulingFixture.js'

function classWith (className: string, paidWeight: number, minSharePercent: number) {
  return { className, spec: priorityClassSpecSchema.parse({ paidWeight, minSharePercent }) }
}

test('should share by paid weight, with at least the guaranteed share for every class', t => {
  const shares = classShares([classWith('gold', 90, 5), classWith('silver', 9, 5), classWith('bronze', 1, 20)])
  t.is(shares.get('bronze'), 0.2)
  t.true(Math.abs((shares.get('gold') ?? 0) / (shares.get('silver') ?? 1) - 10) < 1e-9)
})

test('should keep guaranteed shares, and shares that add up to one, for any classes', t => {
  const anyClass = fc.record({ paidWeight: fc.double({ min: 0.01, max: 1000, noNaN: true }), minSharePercent: fc.double({ min: 0, max: 100, noNaN: true }) })
  fc.assert(fc.property(fc.array(anyClass, { minLength: 1, maxLength: 8 }), specs => {
    const classes = specs.map((spec, index) => classWith(`c${index}`, spec.paidWeight, spec.minSharePercent))
    const shares = classShares(classes)
    const guaranteed = specs.reduce((sum, spec) => sum + spec.minSharePercent, 0) / 100
    const total = [...shares.values()].reduce((sum, share) => sum + share, 0)
    const kept = classes.every(({ className, spec }) => (shares.get(className) ?? 0) >= spec.minSharePercent / 100 / Math.max(1, guaranteed) - 1e-9)
    return kept && Math.abs(total - 1) < 1e-9
  }))
  t.pass()
})

/** Credit of a class that was idle: its share of IDLE_CREDIT_TOKENS in fairShare.ts. */
const CREDITED_TOKENS = 400

test('should never let a class that always has work fall behind its share by more than one round', t => {
  const step = fc.record({ goldTokens: fc.integer({ min: 1, max: 300 }), bronzeTokens: fc.integer({ min: 1, max: 300 }), goldWaits: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { minLength: 50, maxLength: 400 }), steps => {
    const fairShare = new FairShare()
    fairShare.setShares(new Map([['gold', 0.9], ['bronze', 0.1]]))
    fairShare.activate('bronze', [])
    let goldServed = 0
    let bronzeServed = 0
    let goldWaited = false
    for (const { goldTokens, bronzeTokens, goldWaits } of steps) {
      if (goldWaits && !goldWaited) fairShare.activate('gold', ['bronze'])
      goldWaited = goldWaits
      const [next] = fairShare.inServiceOrder(goldWaits ? ['gold', 'bronze'] : ['bronze'])
      const tokensCount = next === 'gold' ? goldTokens : bronzeTokens
      fairShare.charge(next ?? '', tokensCount)
      if (next === 'gold') goldServed += tokensCount
      else bronzeServed += tokensCount
    }
    return bronzeServed >= 0.1 * (goldServed + bronzeServed) - 300 - CREDITED_TOKENS
  }))
  t.pass()
})

test('should give a class only a small credit for the time in which it had no work', t => {
  const fairShare = new FairShare()
  fairShare.setShares(new Map([['gold', 0.5], ['bronze', 0.5]]))
  fairShare.activate('gold', [])
  for (let index = 0; index < 1000; index++) fairShare.charge('gold', 10)
  fairShare.activate('bronze', ['gold'])
  const turns: string[] = []
  for (let index = 0; index < 400; index++) {
    const [next] = fairShare.inServiceOrder(['gold', 'bronze'])
    fairShare.charge(next ?? '', 10)
    turns.push(next ?? '')
  }
  const bronzeCount = turns.filter(name => name === 'bronze').length
  t.true(bronzeCount >= 295 && bronzeCount <= 305, `${bronzeCount} of 400`)
})

test('should not make a class under its share wait for the others after each request', t => {
  const fairShare = new FairShare()
  fairShare.setShares(new Map([['gold', 0.6], ['silver', 0.4]]))
  fairShare.activate('silver', [])
  for (let index = 0; index < 10; index++) fairShare.charge('silver', 100)
  for (let index = 0; index < 5; index++) {
    fairShare.activate('gold', ['silver'])
    t.is(fairShare.inServiceOrder(['silver', 'gold'])[0], 'gold')
    fairShare.charge('gold', 100)
  }
})

test('should not delay a class because work of another class was dispatched before its turn', t => {
  const fairShare = new FairShare()
  fairShare.setShares(new Map([['gold', 0.6], ['silver', 0.3], ['bronze', 0.1]]))
  fairShare.activate('silver', [])
  fairShare.activate('bronze', ['silver'])
  for (let index = 0; index < 20; index++) fairShare.charge('bronze', 100)
  fairShare.activate('gold', ['silver', 'bronze'])
  t.deepEqual(fairShare.inServiceOrder(['bronze', 'silver', 'gold']), ['gold', 'silver', 'bronze'])
})

/** The groups or classes of the requests, in the order in which an endpoint with a concurrency of one runs them. */
async function orderOf (fixture: SchedulingFixture, priorityClasses: string[], groups: string[] = []): Promise<string[]> {
  const order: string[] = []
  const running = priorityClasses.map(async (priorityClass, index) => {
    await fixture.runOne(10, { priorityClass, groupKey: groups[index] })
    order.push(groups[index] ?? priorityClass)
  })
  await fixture.clock.advance(1)
  fixture.announce('one', { maxConcurrentCount: 1 })
  await fixture.clock.advanceUntil(Promise.all(running))
  return order
}

test('should serve the better-paid class first, and still give the lowest class its share', async t => {
  const fixture = new SchedulingFixture({ classes: { gold: { paidWeight: 100 }, bronze: { paidWeight: 1, minSharePercent: 20 } } })
  const order = await orderOf(fixture, [...Array<string>(40).fill('bronze'), ...Array<string>(40).fill('gold')])
  const bronzeCount = order.slice(0, 40).filter(name => name === 'bronze').length
  t.true(bronzeCount >= 8 && bronzeCount <= 11, `${bronzeCount} of the first 40`)
})

test('should run the samples of one group close together', async t => {
  const fixture = new SchedulingFixture({ classes: { bronze: { paidWeight: 1 } } })
  const groups = ['a', 'b', 'a', 'c', 'b', 'a', 'c']
  t.deepEqual(await orderOf(fixture, groups.map(() => 'bronze'), groups), ['a', 'a', 'a', 'b', 'b', 'c', 'c'])
})
