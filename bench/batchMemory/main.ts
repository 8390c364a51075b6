/**
 * `node --expose-gc dist/bench/batchMemory/main.js KIND`: measures the
 * memory that one kind of object in the batch store's state takes beyond its
 * content, for the overheads in src/batches/heldBytes.ts. KIND `store` fills an
 * entire state with its log instead, and prints the counted bytes and the memory of
 * the process, for platform/store.ts. One kind per process, as a heap does not
 * shrink again.
 */
import { randomBytes } from 'node:crypto'
import { Decoder, Encoder } from 'cbor-x'
import { Batch } from '../../src/batches/batch.js'
import { BatchState } from '../../src/batches/batchState.js'
import { toPart } from '../../src/batches/outputParts.js'
import { BatchCommandKind, ResultState, type BatchCommand, type BatchItem, type BatchSubmission, type ItemResult } from '../../src/protocol/batches.js'

const OBJECTS_COUNT = 20_000
const ITEMS_COUNT = 190
const PARTS_COUNT = 24
/** Bytes of a body, and random bytes behind the events of a part, typical of trainers' steps. */
const BODY_BYTES = 600
const EVENT_BYTES = 285
const KEEP_MS = 120_000
/** Bytes of payloads that the log of a store host retains between two snapshots. */
const LOG_BYTES = 24 * 1024 * 1024
const MAX_STORE_BATCHES_COUNT = 60
const MB = 1024 * 1024

const encoder = new Encoder({ useRecords: false })

function decoderOf (copyBuffers: boolean): Decoder {
  return new Decoder({ useRecords: false, copyBuffers })
}

function textOfBytes (count: number): string {
  return randomBytes(count).toString('hex')
}

function makeItem (position: number): BatchItem {
  const body = (): Uint8Array<ArrayBuffer> => Uint8Array.from(randomBytes(BODY_BYTES))
  return {
    itemId: textOfBytes(8),
    path: `/steps/3/${textOfBytes(2)}`,
    headers: ['X-Model', 'model-510000', 'X-Token-Count', '540,400', 'X-Prompt-Prefix', '9c2e41:300,5d07b8:240'],
    body: body(),
    groupId: `g${position}`,
    model: 'model-510000',
    promptTokensCount: 540,
    expectedTokensCount: 400,
    reward: { rewardId: textOfBytes(8), host: 'scores.example', path: '/scores/5e07', body: body() }
  }
}

function makeSubmission (): BatchSubmission {
  const items = Array.from({ length: ITEMS_COUNT }, (_value, position) => makeItem(position))
  return { batchId: textOfBytes(8), host: 'steps.example', path: '/steps/7c41e0', step: 1, model: 'model-510000', minVersion: 1, wantedGroupsCount: 12, items }
}

function makeResult (itemId: string, partsCount: number): ItemResult {
  const parts = Array.from({ length: partsCount }, () => toPart([randomBytes(EVENT_BYTES).toString('base64')], [1]))
  return { itemId, state: ResultState.Completed, parts, versions: [1], score: '3e1b.07.5a2.600.c9f2a4d1' }
}

/** The state after `batchesCount` batches, and the commands that the log retains. */
function fillState (batchesCount: number, copyBuffers: boolean): { state: BatchState, log: Uint8Array[] } {
  const state = new BatchState()
  const decoder = decoderOf(copyBuffers)
  const log: Uint8Array[] = []
  let index = 0
  let logBytes = 0
  const apply = (command: BatchCommand): void => {
    const payload = Uint8Array.from(encoder.encode(command))
    log.push(payload)
    logBytes += payload.length
    while (logBytes > LOG_BYTES) logBytes -= log.shift()?.length ?? 0
    state.apply(decoder.decode(payload) as BatchCommand, { index: ++index, atMs: index })
  }
  for (let batch = 0; batch < batchesCount; batch++) {
    const submission = makeSubmission()
    const { batchId } = submission
    apply({ kind: BatchCommandKind.Submit, submission, keepMs: KEEP_MS })
    for (const { itemId } of submission.items) {
      const { parts, ...rest } = makeResult(itemId, PARTS_COUNT)
      for (const [position, part] of parts.entries()) apply({ kind: BatchCommandKind.Progress, batchId, itemId, afterEventId: position, parts: [part] })
      apply({ kind: BatchCommandKind.Finish, batchId, afterEventId: PARTS_COUNT, result: { ...rest, parts: [] } })
    }
  }
  return { state, log }
}

interface Usage {
  rssBytes: number
  objectsBytes: number
}

function usage (): Usage {
  global.gc?.()
  global.gc?.()
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage()
  return { rssBytes: rss, objectsBytes: heapUsed + arrayBuffers }
}

/** Total bytes of the buffers and characters of the strings in a value. */
function contentBytesOf (value: unknown): number {
  if (typeof value === 'string' || value instanceof Uint8Array) return value.length
  if (typeof value !== 'object' || value === null) return 0
  return Object.values(value).reduce((sum: number, field) => sum + contentBytesOf(field), 0)
}

function makeBatches (kind: string): Batch[] {
  const decoder = decoderOf(true)
  const batches: Batch[] = []
  const decoded = <T>(value: T): T => decoder.decode(Uint8Array.from(encoder.encode(value))) as T
  const partsCount = kind === 'part' ? PARTS_COUNT : 0
  for (let count = 0; count < OBJECTS_COUNT; count += kind === 'batch' ? 1 : ITEMS_COUNT) {
    const submission = makeSubmission()
    const batch = Batch.accepted(decoded(kind === 'batch' ? { ...submission, items: [] } : submission), 0, KEEP_MS)
    if (kind === 'result' || kind === 'part') for (const { itemId } of submission.items) batch.list(decoded(makeResult(itemId, partsCount)))
    batches.push(batch)
  }
  return batches
}

function measureObjects (kind: string): void {
  makeBatches(kind)
  const before = usage()
  const batches = makeBatches(kind)
  const after = usage()
  const contentBytes = batches.reduce((sum, batch) => sum + contentBytesOf(batch.record()), 0)
  const count = kind === 'batch' ? batches.length : batches.length * ITEMS_COUNT
  const perObject = (bytes: number): number => Math.round(bytes / count)
  const takenBytes = after.objectsBytes - before.objectsBytes
  process.stdout.write(`${JSON.stringify({ kind, count, takenBytes: perObject(takenBytes), contentBytes: perObject(contentBytes), overheadBytes: perObject(takenBytes - contentBytes) })}\n`)
}

function measureStore (batchesCount: number, copyBuffers: boolean): void {
  const before = usage()
  const { state, log } = fillState(batchesCount, copyBuffers)
  const after = usage()
  const logMb = log.reduce((sum, { length }) => sum + length, 0) / MB
  const { heldBytes } = state
  const toMb = (bytes: number): number => Number((bytes / MB).toFixed(1))
  process.stdout.write(`${JSON.stringify({
    kind: 'store',
    batchesCount,
    copyBuffers,
    logMb: Number(logMb.toFixed(1)),
    heldMb: toMb(heldBytes),
    objectsMb: toMb(after.objectsBytes - before.objectsBytes),
    rssBeforeMb: toMb(before.rssBytes),
    rssMb: toMb(after.rssBytes)
  })}\n`)
}

const [kind = 'store', batches, views] = process.argv.slice(2)
if (kind === 'store') measureStore(Number(batches ?? MAX_STORE_BATCHES_COUNT), views !== 'views')
else measureObjects(kind)
