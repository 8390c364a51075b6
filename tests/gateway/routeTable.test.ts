import test from 'ava'
import { chooseService, RouteTable } from '../../src/gateway/routeTable.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'

test('should find the route of the host with the longest prefix', t => {
  const table = new RouteTable(routing(1, [route({ name: 'short', pathPrefix: '/a/' }), route({ name: 'long', pathPrefix: '/a/b/' })]))
  t.is(table.find(HOST, '/a/b/c')?.name, 'long')
  t.is(table.find(HOST, '/a/x')?.name, 'short')
  t.is(table.find(HOST, '/a'), undefined)
  t.is(table.find('other.example', '/a/b/c'), undefined)
})

test('should choose services by their weights, and never one of weight 0', t => {
  const weighted = route({ services: [{ service: 'most', weight: 90 }, { service: 'some', weight: 10 }, { service: 'none', weight: 0 }] })
  const random = seededRandom(3)
  const counts = new Map<string, number>()
  for (let draw = 0; draw < 2_000; draw++) {
    const service = chooseService(weighted, random)
    counts.set(service, (counts.get(service) ?? 0) + 1)
  }
  t.is(counts.get('none'), undefined)
  const someShare = (counts.get('some') ?? 0) / 2_000
  t.true(someShare > 0.07 && someShare < 0.13, `${someShare}`)
})
