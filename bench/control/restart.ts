/**
 * The cost of a snapshot and of a restart by number of changes: the storage and
 * state of one replica, without peers.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Encoder } from 'cbor-x'
import { checkCommand, ControlState } from '../../src/control/controlState.js'
import { createLedgers } from '../../src/control/ledgers/createLedgers.js'
import { EntryKind, type LogEntry } from '../../src/replication/log/logEntry.js'
import { FileDisk } from '../../src/replication/storage/fileDisk.js'
import { ReplicaStorage } from '../../src/replication/storage/replicaStorage.js'
import { ResourceCommandKind, type ResourceCommand } from '../../src/protocol/resourceCommands.js'
import { ResourceKind } from '../../src/protocol/resources.js'
import { systemClock } from '../../src/utils/clock.js'
import type { BenchResult } from '../benchResult.js'

/** Number of resources that the changes cycle through. */
const RESOURCES_COUNT = 200
const encoder = new Encoder({ useRecords: false })

function commandOf (number: number): ResourceCommand {
  const command: ResourceCommand = {
    kind: ResourceCommandKind.Apply,
    changeId: `change-${number}`,
    resourceKind: ResourceKind.EndpointPool,
    name: `pool-${number % RESOURCES_COUNT}`,
    spec: { endpointKind: 'engine', model: 'hintschrijver', fencing: 'enforced', weightStoreUrl: 'http://127.0.0.1:9000/weights' }
  }
  const checked = checkCommand(command)
  return checked.kind === 'valid' ? checked.command as ResourceCommand : command
}

async function measureTime<T> (work: () => Promise<T> | T): Promise<{ value: T, durationMs: number }> {
  const startedAtMs = systemClock.nowMs()
  const value = await work()
  return { value, durationMs: systemClock.nowMs() - startedAtMs }
}

export async function measureRestart (quick: boolean, report: (line: string) => void): Promise<BenchResult[]> {
  const results: BenchResult[] = []
  for (const changesCount of quick ? [100, 1_000] : [100, 500, 4_000, 20_000]) {
    const folder = mkdtempSync(join(tmpdir(), 'threaddrum-bench-'))
    const open = async () => await ReplicaStorage.open(await FileDisk.open(folder), 'control-1', () => 'replica')
    const { storage } = await open()
    const state = new ControlState(createLedgers)
    const entries: LogEntry[] = []
    for (let index = 1; index <= changesCount; index++) {
      const command = commandOf(index)
      state.apply(command, { index, atMs: index })
      entries.push({ index, term: 1, kind: EntryKind.Command, atMs: index, payload: Uint8Array.from(encoder.encode(command)) })
    }
    await storage.append(entries.map(entry => ({ kind: 'entry', entry })))
    await storage.close()
    const byLog = await measureTime(async () => {
      const { loaded, storage: reopened } = await open()
      const replayed = new ControlState(createLedgers)
      for (const entry of loaded.entries) replayed.apply(commandOf(entry.index), entry)
      return reopened
    })
    const head = { lastIndex: changesCount, lastTerm: 1, lastAtMs: changesCount, members: [] }
    const taken = await measureTime(() => byLog.value.writeSnapshot(head, state.snapshot()))
    const snapshot = taken.value
    if (!snapshot) throw new Error('another snapshot is being written')
    const { lengthBytes } = snapshot
    const written = await measureTime(() => byLog.value.compact({ snapshot, hardState: { term: 1, votedFor: null }, entries: [] }))
    await byLog.value.close()
    const bySnapshot = await measureTime(async () => {
      const { loaded, storage: reopened } = await open()
      new ControlState(createLedgers).restore(loaded.snapshot?.pieces ?? [])
      await reopened.close()
    })
    rmSync(folder, { recursive: true, force: true })
    const name = `control.restart.${changesCount}`
    report(`${name}: log ${byLog.durationMs.toFixed(0)} ms, snapshot ${bySnapshot.durationMs.toFixed(0)} ms, ${lengthBytes} bytes, written in ${taken.durationMs.toFixed(0)} ms, log replaced in ${written.durationMs.toFixed(0)} ms`)
    results.push({ name: `${name}.byLogMs`, value: Number(byLog.durationMs.toFixed(1)), unit: 'ms' })
    results.push({ name: `${name}.bySnapshotMs`, value: Number(bySnapshot.durationMs.toFixed(1)), unit: 'ms' })
    results.push({ name: `${name}.snapshotTakenMs`, value: Number(taken.durationMs.toFixed(1)), unit: 'ms' })
    results.push({ name: `${name}.snapshotBytesPerChange`, value: Math.round(lengthBytes / changesCount), unit: 'bytes' })
  }
  return results
}
