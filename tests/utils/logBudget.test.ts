import test from 'ava'
import { LogBudget, DropReason } from '../../src/utils/logBudget.js'
import { LogEvent } from '../../src/utils/logEvents.js'
import { createLogger, LogLevel, writeLogsTo, type Logger } from '../../src/utils/logger.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const INFO = 1
const WARN = 2
const catalogue = {
  [INFO]: { level: LogLevel.Info, text: 'something happened', advice: 'None.' },
  [WARN]: { level: LogLevel.Warn, text: 'something is wrong', advice: 'None.' }
}

interface LogSetup {
  clock: VirtualClock
  logger: Logger
  lines: Array<{ eventNumber: number, overBudgetCount?: number, readerStalledCount?: number }>
  dropped: DropReason[]
  pending: { bytes: number }
}

function setUpLog (): LogSetup {
  const clock = new VirtualClock()
  const dropped: DropReason[] = []
  const pending = { bytes: 0 }
  const budget = new LogBudget({
    clock,
    pendingBytes: () => pending.bytes,
    linesPerSecond: 10,
    burstCount: 20,
    reservedCount: 5,
    maxPendingBytes: 1_000,
    onDropped: reason => dropped.push(reason)
  })
  const lines: LogSetup['lines'] = []
  writeLogsTo(line => lines.push(JSON.parse(line).context))
  return { clock, logger: createLogger(catalogue, {}, budget), lines, dropped, pending }
}

test.serial('should limit the lines of a burst and of every second after it, and count the dropped ones', async t => {
  const { clock, logger, lines, dropped } = setUpLog()
  for (let count = 0; count < 100; count++) logger.event(INFO)
  t.is(lines.length, 15)
  t.is(dropped.filter(reason => reason === DropReason.OverBudget).length, 85)
  for (let second = 0; second < 10; second++) {
    await clock.advance(1_000)
    for (let count = 0; count < 100; count++) logger.event(INFO)
  }
  const written = lines.filter(({ eventNumber }) => eventNumber === INFO)
  t.true(written.length >= 105 && written.length <= 116, `${written.length} lines`)
})

test.serial('should reserve lines for warnings when everything else exceeds the budget', t => {
  const { logger, lines } = setUpLog()
  for (let count = 0; count < 100; count++) logger.event(INFO)
  logger.event(WARN)
  t.is(lines.at(-1)?.eventNumber, WARN)
})

test.serial('should log how many lines were dropped, at most once a second', async t => {
  const { clock, logger, lines } = setUpLog()
  for (let count = 0; count < 100; count++) logger.event(INFO)
  await clock.advance(1_500)
  logger.event(INFO)
  logger.event(INFO)
  const reports = lines.filter(({ eventNumber }) => eventNumber === LogEvent.LinesDropped)
  t.deepEqual(reports.map(({ overBudgetCount }) => overBudgetCount), [85])
})

test.serial('should drop lines while the reader of the log is stalled, and resume afterwards', async t => {
  const { clock, logger, lines, dropped, pending } = setUpLog()
  pending.bytes = 1_001
  logger.event(INFO)
  logger.event(WARN)
  t.is(lines.length, 0)
  t.deepEqual(dropped, [DropReason.ReaderStalled, DropReason.ReaderStalled])
  pending.bytes = 0
  await clock.advance(10)
  logger.event(INFO)
  t.deepEqual(lines.map(({ eventNumber, readerStalledCount }) => [eventNumber, readerStalledCount]), [[LogEvent.LinesDropped, 2], [INFO, undefined]])
})
