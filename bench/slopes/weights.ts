/**
 * The cost of a weight swap on an entire pool for the host that coordinates it:
 * the real coordinator with engines and a rate-limited store on a virtual clock.
 * The store transfers the weights of one engine in 22 s / 600, the required
 * rate, so the measured time shows what the coordinator adds.
 */
import { callerPaths } from '../../src/protocol/callers.js'
import { POOL, RolloutWorld } from '../../tests/fixtures/rollouts/rolloutWorld.js'
import { processorUs } from './ownProcess.js'
import type { SlopeMeasurement } from './slope.js'

const TRANSFER_MS = 22_000 / 600
const WEIGHT_BYTES = 1_000_000
const BYTES_PER_SECOND = 1_000 * WEIGHT_BYTES / TRANSFER_MS
const MAX_FETCHING = 16
const JOB = 'hints'
const STEP_MS = 50

async function readSwap (enginesCount: number): Promise<number[]> {
  const world = new RolloutWorld({
    hostsCount: 1,
    enginesCount,
    store: { weightBytes: WEIGHT_BYTES, bytesPerSecond: BYTES_PER_SECOND },
    pool: { maxFetchingCount: MAX_FETCHING },
    recordsOrigins: false
  })
  world.declareJob(JOB, { paused: true })
  await world.clock.advance(5_000)
  const post = async (path: string, body: object): Promise<Record<string, unknown>> => {
    const answer = await world.clock.advanceUntil(world.post('h1', `${callerPaths.trainers}${JOB}/${path}`, body))
    if (answer.kind !== 'answered' || answer.status !== 200) throw new Error(`${path}: ${JSON.stringify(answer)}`)
    return answer.body as Record<string, unknown>
  }
  const { sessionNumber } = await post('session', { sessionId: 's1' })
  const fromMs = world.clock.nowMs()
  const usedUs = await processorUs(async () => {
    await post('weights', { sessionNumber, weightVersion: 1 })
    while ([...world.engines.values()].some(engine => engine.weightVersion < 1)) await world.clock.advance(STEP_MS)
  })
  const tookMs = world.clock.nowMs() - fromMs
  world.stop()
  if (world.directory.available(POOL).length !== 0 && world.fatal.length > 0) throw new Error(world.fatal.join('\n'))
  return [tookMs / 1_000, usedUs / 1_000]
}

export const weightSlopes: SlopeMeasurement[] = [{
  metrics: [
    { name: 'weights.poolSwapSeconds', what: `virtual time from publishing a version until every engine runs it, with a store that needs ${TRANSFER_MS.toFixed(1)} ms an engine and ${MAX_FETCHING} that fetch at once`, unit: 's' },
    { name: 'weights.poolSwapProcessorMs', what: 'processor time of that, coordinator and virtual engines together', unit: 'ms' }
  ],
  sizeUnit: 'engines of the pool',
  sizes: [75, 150, 300, 600],
  repeats: 2,
  read: readSwap
}]
