import test from 'ava'
import type { LogFields, Logger } from '../../src/utils/logger.js'
import { MemoryEvent } from '../../src/utils/memoryEvents.js'
import { MEMORY_LEVELS_PERCENT, MemoryWatch, megabytesToBytes, processMemory, type MemoryUse } from '../../src/utils/memoryWatch.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const LIMIT_MB = 100
const LIMIT_BYTES = megabytesToBytes(LIMIT_MB)

interface WatchSetup {
  clock: VirtualClock
  events: Array<{ number: number, fields: LogFields }>
  gauges: () => Record<string, number>
  readsCount: () => number
  /** Sets the resident memory that further reads return, in percent of the limit, and advances the clock to the next read. */
  setUsedPercent: (percent: number) => Promise<void>
}

function startWatch (limitBytes: number | undefined): WatchSetup {
  const clock = new VirtualClock()
  const metrics = memoryMetrics()
  const events: WatchSetup['events'] = []
  const logger: Logger = { event: (number, fields = {}) => { events.push({ number, fields }) }, child: () => logger }
  let memoryUse: MemoryUse = { residentBytes: 0, heapBytes: 3, externalBytes: 4 }
  let readsCount = 0
  const read = (): MemoryUse => {
    readsCount++
    return memoryUse
  }
  const scope = new Scope('test')
  new MemoryWatch({ clock, logger, metrics, read, limitBytes }).run(scope).catch(() => {})
  return {
    clock,
    events,
    gauges: () => metrics.snapshot(),
    readsCount: () => readsCount,
    setUsedPercent: async percent => {
      memoryUse = { ...memoryUse, residentBytes: percent / 100 * LIMIT_BYTES }
      await clock.advance(1_000)
    }
  }
}

function levels (events: WatchSetup['events'], number: MemoryEvent) {
  return events.filter(event => event.number === number).map(({ fields }) => fields.levelPercent)
}

test('should read the memory once a second', async t => {
  const { clock, readsCount } = startWatch(LIMIT_BYTES)
  await clock.advance(10_000)
  t.is(readsCount(), 11)
})

test('should log once for each level that is reached, with the measured values', async t => {
  const { setUsedPercent, events } = startWatch(LIMIT_BYTES)
  await setUsedPercent(69)
  t.deepEqual(events, [])
  await setUsedPercent(70)
  await setUsedPercent(80)
  t.deepEqual(events, [{
    number: MemoryEvent.LevelReached,
    fields: { levelPercent: 70, limitBytes: LIMIT_BYTES, residentBytes: 0.7 * LIMIT_BYTES, heapBytes: 3, externalBytes: 4 }
  }])
  await setUsedPercent(96)
  t.deepEqual(levels(events, MemoryEvent.LevelReached), MEMORY_LEVELS_PERCENT)
})

test('should log that a level is cleared only well below it, and log the level again after that', async t => {
  const { setUsedPercent, events } = startWatch(LIMIT_BYTES)
  for (const percent of [86, 84, 86, 81]) await setUsedPercent(percent)
  t.deepEqual(levels(events, MemoryEvent.LevelReached), [70, 85])
  t.deepEqual(levels(events, MemoryEvent.LevelCleared), [])
  for (const percent of [79, 86]) await setUsedPercent(percent)
  t.deepEqual(levels(events, MemoryEvent.LevelReached), [70, 85, 85])
  t.deepEqual(levels(events, MemoryEvent.LevelCleared), [85])
})

test('should show the used memory and the limit as gauges', async t => {
  const { setUsedPercent, gauges } = startWatch(LIMIT_BYTES)
  await setUsedPercent(50)
  t.deepEqual(gauges(), {
    'memory.resident_bytes': LIMIT_BYTES / 2, 'memory.heap_bytes': 3, 'memory.external_bytes': 4, 'memory.limit_bytes': LIMIT_BYTES
  })
})

test('should only show the used memory when the host sets no limit', async t => {
  const { setUsedPercent, gauges, events } = startWatch(undefined)
  await setUsedPercent(500)
  t.deepEqual(Object.keys(gauges()), ['memory.resident_bytes', 'memory.heap_bytes', 'memory.external_bytes'])
  t.deepEqual(events, [])
})

test('should read the memory of this process', t => {
  const { residentBytes, heapBytes, externalBytes } = processMemory()
  t.true(residentBytes > heapBytes && heapBytes > 0 && externalBytes > 0)
})
