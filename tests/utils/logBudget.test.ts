import test from 'ava'
import { LogBudget, LeftOutReason } from '../../src/utils/logBudget.js'
import { LogEvent } from '../../src/utils/logEvents.js'
import { createLogger, LogLevel, writeLogsTo, type Logger } from '../../src/utils/logger.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const INFO = 1
const WARN = 2
const catalogue = {
  [INFO]: { level: LogLevel.Info, text: 'something happened', advice: 'None.' },
  [WARN]: { level: LogLevel.Warn, text: 'something is wrong', advice: 'None.' }
}

interface World {
  clock: VirtualClock
  logger: Logger
  lines: Array<{ eventNumber: number, overBudgetCount?: number, readerStalledCount?: number }>
  leftOut: LeftOutReason[]
  pending: { bytes: number }
}

function world (): World {
  const clock = new VirtualClock()
  const leftOut: LeftOutReason[] = []
  const pending = { bytes: 0 }
  const budget = new LogBudget({
    clock,
    pendingBytes: () => pending.bytes,
    linesPerSecond: 10,
    burstCount: 20,
    reservedCount: 5,
    maxPendingBytes: 1_000,
    onLeftOut: reason => leftOut.push(reason)
  })
  const lines: World['lines'] = []
  writeLogsTo(line => lines.push(JSON.parse(line).context))
  return { clock, logger: createLogger(catalogue, {}, budget), lines, leftOut, pending }
}

test.serial('should bound the lines of a burst and of every second after it, and count the others', async t => {
  const { clock, logger, lines, leftOut } = world()
  for (let count = 0; count < 100; count++) logger.event(INFO)
  t.is(lines.length, 15)
  t.is(leftOut.filter(reason => reason === LeftOutReason.OverBudget).length, 85)
  for (let second = 0; second < 10; second++) {
    await clock.advance(1_000)
    for (let count = 0; count < 100; count++) logger.event(INFO)
  }
  const written = lines.filter(({ eventNumber }) => eventNumber === INFO)
  t.true(written.length >= 105 && written.length <= 116, `${written.length} lines`)
})

test.serial('should keep room for warnings when everything else is over the budget', t => {
  const { logger, lines } = world()
  for (let count = 0; count < 100; count++) logger.event(INFO)
  logger.event(WARN)
  t.is(lines.at(-1)?.eventNumber, WARN)
})

test.serial('should say in the log how many lines were left out, once a second at most', async t => {
  const { clock, logger, lines } = world()
  for (let count = 0; count < 100; count++) logger.event(INFO)
  await clock.advance(1_500)
  logger.event(INFO)
  logger.event(INFO)
  const reports = lines.filter(({ eventNumber }) => eventNumber === LogEvent.LinesLeftOut)
  t.deepEqual(reports.map(({ overBudgetCount }) => overBudgetCount), [85])
})

test.serial('should leave lines out while nobody takes what was written, and go on afterwards', async t => {
  const { clock, logger, lines, leftOut, pending } = world()
  pending.bytes = 1_001
  logger.event(INFO)
  logger.event(WARN)
  t.is(lines.length, 0)
  t.deepEqual(leftOut, [LeftOutReason.ReaderStalled, LeftOutReason.ReaderStalled])
  pending.bytes = 0
  await clock.advance(10)
  logger.event(INFO)
  t.deepEqual(lines.map(({ eventNumber, readerStalledCount }) => [eventNumber, readerStalledCount]), [[LogEvent.LinesLeftOut, 2], [INFO, undefined]])
})
