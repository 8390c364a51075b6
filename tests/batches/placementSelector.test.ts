import test from 'ava'
import type { Engine, EngineFleet } from '../../src/batchScheduling/engineFleet.js'
import type { ItemRun } from '../../src/batches/itemRun.js'
import { PlacementSelector } from '../../src/batches/placementSelector.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { submission } from '../fixtures/fleet/batchFixtures.js'
import { batchRoute, routing, viewOf } from '../fixtures/fleet/fleetFixtures.js'

const ITEMS_COUNT = 400

interface World {
  places: PlacementSelector
  /** Services with engines that accept work. */
  serving: Set<string>
}

function world (services: Array<{ service: string, weight: number }>, models: Record<string, string[]>): World {
  const serving = new Set(services.map(({ service }) => service))
  const plain = routing(1)
  const configuration = {
    ...plain,
    services: services.map(({ service: name }) => ({
      name, healthPath: '/healthz', maxConnectionsCount: 100, engine: { slotsCount: 2, kvCapacityTokens: 10_000, tokensPerEvent: 50, models: models[name] ?? [] }
    }))
  }
  const engines = { ofService: (service: string) => (serving.has(service) ? [{} as Engine] : []) } as unknown as EngineFleet
  return { places: new PlacementSelector({ view: viewOf([], configuration), engines, random: seededRandom(3), routeOf: () => batchRoute({ services }) }), serving }
}

function runs (): ItemRun[] {
  const { items, ...head } = submission('b1', Array.from({ length: ITEMS_COUNT }, (_value, position) => `i${position}`))
  return items.map(item => ({ batch: { submission: head }, item }) as unknown as ItemRun)
}

function countOf ({ places }: World, service: string, items = runs()): number {
  return items.filter(run => places.placementOf(run)?.service === service).length
}

test('should share the items of a batch by the weights of its route', t => {
  const all = world([{ service: 'a', weight: 25 }, { service: 'b', weight: 75 }], { a: ['hints-model'], b: ['hints-model'] })
  const count = countOf(all, 'b')
  t.true(count > 0.65 * ITEMS_COUNT && count < 0.85 * ITEMS_COUNT, `${count} of ${ITEMS_COUNT}`)
})

test('should send no item to a service whose engines lack its model, nor to one of no weight', t => {
  const all = world([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }, { service: 'c', weight: 0 }], { a: ['other'], b: ['hints-model'], c: ['hints-model'] })
  t.is(countOf(all, 'b'), ITEMS_COUNT)
})

test('should use another service of the route while the selected one has no engine, and no longer', t => {
  const all = world([{ service: 'a', weight: 50 }, { service: 'b', weight: 50 }], { a: ['hints-model'], b: ['hints-model'] })
  const items = runs()
  const count = countOf(all, 'a', items)
  all.serving.delete('a')
  t.is(countOf(all, 'b', items), ITEMS_COUNT)
  all.serving.add('a')
  t.is(countOf(all, 'a', items), count)
})
