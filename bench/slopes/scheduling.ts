/**
 * The cost of choosing an endpoint, by number of endpoints that a host knows: one
 * assignment at a time, including its end, with an empty queue.
 */
import { SchedulingFixture } from '../../tests/fixtures/schedulingFixture.js'
import { processorUs } from './ownProcess.js'
import type { SlopeMeasurement } from './slope.js'

const ASSIGNMENTS = 2_000
const WARM_UP = 300

function fixtureWith (endpointsCount: number): SchedulingFixture {
  const fixture = new SchedulingFixture()
  for (let index = 0; index < endpointsCount; index++) fixture.announce(`engine-${index}`, { maxConcurrentCount: 32 })
  return fixture
}

async function assignMany (fixture: SchedulingFixture, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const assignment = await fixture.assigned({ affinityText: `deck ${index % 8} of cards` })
    assignment.finish({ kind: 'succeeded', tokensCount: 10, durationMs: 100 })
  }
}

export const schedulingSlopes: SlopeMeasurement[] = [{
  metrics: [{
    name: 'requests.assignUs',
    what: 'processor time of one assignment of a request to an endpoint, in an empty queue',
    unit: 'us'
  }],
  sizeUnit: 'endpoints of the pool',
  sizes: [50, 100, 200, 400, 600],
  repeats: 3,
  async read (size) {
    const fixture = fixtureWith(size)
    await assignMany(fixture, WARM_UP)
    const usedUs = await processorUs(async () => await assignMany(fixture, ASSIGNMENTS))
    fixture.scope.close('read')
    return [usedUs / ASSIGNMENTS]
  }
}]
