import test from 'ava'
import { EntryLog } from '../../src/replication/log/entryLog.js'
import { entryBytes, EntryKind, type LogEntry } from '../../src/replication/log/logEntry.js'

function logOf (payloadBytes: number[]): EntryLog {
  const entries = payloadBytes.map((length, position): LogEntry => ({ index: position + 1, term: 1, kind: EntryKind.Command, atMs: 0, payload: new Uint8Array(length) }))
  return new EntryLog({ index: 0, term: 0, atMs: 0 }, entries)
}

// A fixed number of entries stayed behind a snapshot, whatever they weighed.
test('should keep the latest entries behind a snapshot, within a number and a size', t => {
  const log = logOf([10, 10, 10, 10, 10])
  const [one] = log.slice(1, 1)
  const bytes = one ? entryBytes(one) : 0
  t.is(log.keptFrom(5, 2, Number.POSITIVE_INFINITY), 3)
  t.is(log.keptFrom(4, 2, Number.POSITIVE_INFINITY), 2)
  t.is(log.keptFrom(5, 10, Number.POSITIVE_INFINITY), 0)
  t.is(log.keptFrom(5, 10, 3 * bytes), 2)
  t.is(log.keptFrom(5, 10, 3 * bytes - 1), 3)
  t.is(logOf([10, 10, 1_000_000]).keptFrom(3, 10, 1_000), 3)
})
