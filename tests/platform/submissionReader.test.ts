/**
 * Submissions that are read while they arrive: the same as those that are read whole,
 * wherever their bytes are cut, and the same refusals.
 */
import test from 'ava'
import { Readable } from 'node:stream'
import { createServer, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { request as post } from 'undici'
import { SubmissionUpload, PART_BYTES } from '../../src/batches/submissionUpload.js'
import { heldBytesOfItems } from '../../src/batches/heldBytes.js'
import type { BatchItem, BatchSubmission } from '../../src/protocol/batches.js'
import type { SubmitBatchReply, SubmitPartReply, SubmitPartRequest } from '../../src/transport/batchMethods.js'
import { systemClock } from '../../src/utils/clock.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { decodeSubmission, type Submitter } from '../../platform/batchCodec.js'
import { SubmissionReader, type ReadSubmissionOutcome } from '../../platform/submissionReader.js'
import { RequestBody } from '../../src/clients/requestBody.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'
import { until } from '../fixtures/until.js'

const SUBMITTER: Submitter = { account: 'learners', priority: 1, hasKeys: true }
const MAX_BYTES = 4 * 1024 * 1024
const LARGE_BODY = Buffer.alloc(100_000, 'body').toString('base64')

/** What the store was sent. */
class Store {
  readonly parts: SubmitPartRequest[] = []
  submitted: { submission: BatchSubmission, stagedItemsCount: number | undefined } | undefined
  onPart: (part: SubmitPartRequest) => SubmitPartReply = () => ({ kind: 'staged' })

  async submitPart (part: SubmitPartRequest): Promise<SubmitPartReply> {
    this.parts.push(part)
    return this.onPart(part)
  }

  async submit (submission: BatchSubmission, _progress: Progress, stagedItemsCount?: number): Promise<SubmitBatchReply> {
    this.submitted = { submission, stagedItemsCount }
    return { kind: 'accepted' }
  }

  items (): BatchItem[] {
    return [...this.parts.flatMap(({ items }) => items), ...this.submitted?.submission.items ?? []]
  }
}

async function read (store: Store, chunks: Uint8Array[], hasTime?: () => boolean): Promise<ReadSubmissionOutcome> {
  const scope = new Scope('test')
  const progressOfCall = (): Progress => new Progress(systemClock, scope, systemClock.nowMs() + 1_000)
  const upload = new SubmissionUpload({ client: store, batch: { batchId: 'b1', account: 'learners' }, statedBytes: 0, progressOfCall, ...(hasTime ? { hasTime } : {}) })
  const context = { batchId: 'b1', host: 'decks.example', path: '/hints/b1', submitter: SUBMITTER, maxBytes: MAX_BYTES }
  const request = Readable.from(chunks, { objectMode: false }) as unknown as IncomingMessage
  return await new SubmissionReader(context, upload).read({ scope, body: new RequestBody(request) })
}

function wireItem (id: string, changes = {}): object {
  return { id, path: `/hints/${id}`, headers: { 'X-Threaddrum-Model': 'm1', 'X-Threaddrum-Token-Count': '10,400', 'X-Custom': 'käse\t"' }, body: 'q83vEjRWeJA=', tokens: 410, group: 'g\n1', scorer: { id: `s-${id}`, host: 'h', path: '/p', body: '3q2+7w==' }, ...changes }
}

function bytesOf (value: unknown): Buffer {
  return Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))
}

function cut (bytes: Buffer, lengthBytes: number): Buffer[] {
  return Array.from({ length: Math.ceil(bytes.length / lengthBytes) }, (_value, position) => bytes.subarray(position * lengthBytes, (position + 1) * lengthBytes))
}

test('should read a submission like one that is decoded whole, wherever its bytes are cut', async t => {
  const wire = { step: 7, model: 'm1', 'min-version': 6, desired: 2, items: ['i1', 'i2', 'i3'].map(id => wireItem(id)) }
  const whole = decodeSubmission('b1', 'decks.example', '/hints/b1', wire, SUBMITTER)
  const bytes = bytesOf(wire)
  for (const lengthBytes of [1, 2, 3, 7, 64, bytes.length]) {
    const store = new Store()
    const outcome = await read(store, cut(bytes, lengthBytes))
    t.deepEqual(outcome, { kind: 'sent', reply: { kind: 'accepted' }, itemsCount: 3, step: 7 })
    t.deepEqual(store.submitted?.submission, whole.kind === 'valid' ? whole.submission : undefined, `in pieces of ${lengthBytes}`)
  }
})

test('should read the fields of a submission in any order', async t => {
  const store = new Store()
  await read(store, [bytesOf(`{"items":[${JSON.stringify(wireItem('i1', { headers: {} }))}],"desired":1,"model":"m9","step":3,"other":{"items":[1]}}`)])
  t.like(store.submitted?.submission, { model: 'm9', step: 3, wantedGroupsCount: 1 })
  t.is(store.items()[0]?.model, '', 'the store fills it in')
})

test('should send a large submission in parts of bounded size, in order', async t => {
  const store = new Store()
  const items = Array.from({ length: 20 }, (_value, position) => wireItem(`i${position}`, { body: LARGE_BODY }))
  const outcome = await read(store, cut(bytesOf({ step: 1, model: 'm1', items }), 65_536))
  t.like(outcome, { kind: 'sent', reply: { kind: 'accepted' }, itemsCount: 20 })
  t.true(store.parts.length >= 4)
  t.deepEqual(store.items().map(({ itemId }) => itemId), items.map((_item, position) => `i${position}`))
  let fromPosition = 0
  for (const part of store.parts) {
    t.is(part.fromPosition, fromPosition)
    t.true(heldBytesOfItems(part.items) <= PART_BYTES + LARGE_BODY.length)
    fromPosition += part.items.length
  }
  t.deepEqual([store.submitted?.stagedItemsCount, store.submitted?.submission.items.length], [20, 0])
})

test('should stop to read when the store takes no more, and say what is true of it', async t => {
  const store = new Store()
  store.onPart = () => ({ kind: 'unknown', reason: 'no reply' })
  const items = Array.from({ length: 20 }, (_value, position) => wireItem(`i${position}`, { body: LARGE_BODY }))
  const outcome = await read(store, cut(bytesOf({ items }), 65_536))
  t.like(outcome, { kind: 'sent', reply: { kind: 'refused' } }, 'without the submission, no part of it runs')
  t.is(store.parts.length, 1)
  t.is(store.submitted, undefined)
})

test('should let the sender of a large submission read why it is refused', async t => {
  const outcomes: Array<Promise<ReadSubmissionOutcome>> = []
  const scope = new Scope('test')
  const server = createServer((request, response) => {
    const upload = new SubmissionUpload({ client: new Store(), batch: { batchId: 'b1' }, statedBytes: 0, progressOfCall: () => new Progress(systemClock, scope, systemClock.nowMs() + 1_000) })
    const context = { batchId: 'b1', host: 'decks.example', path: '/hints/b1', submitter: SUBMITTER, maxBytes: MAX_BYTES }
    const reading = new SubmissionReader(context, upload).read({ scope, body: new RequestBody(request) })
    outcomes.push(reading)
    reading.then(({ kind }) => response.writeHead(400, { 'content-length': kind.length }).end(kind), () => response.destroy())
  })
  const host = loopbackHost()
  const port = await freePort()
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  t.teardown(() => { scope.close('test over'); server.close(); server.closeAllConnections() })
  for (const [kind, body] of [['invalid', Buffer.alloc(3_000_000, '{"items":[7,')], ['tooLarge', Buffer.alloc(3 * MAX_BYTES, ' ')]] as const) {
    const answer = await post(`http://${host}:${port}/`, { method: 'POST', body })
    t.is(await answer.body.text(), kind)
  }
  const socket = connect(port, host)
  socket.write('POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 100000\r\n\r\n{"items":[')
  await until(() => outcomes.length === 3)
  socket.destroy()
})

const INVALID: Array<[name: string, body: unknown, problem: RegExp]> = [
  ['an item without an id', { items: [wireItem('i1'), wireItem('', {})] }, /^items\.1\.id: /],
  ['a body that is not base64', { items: [wireItem('i1', { body: '$' })] }, /^items\.0\.body: /],
  ['a header that no engine can be sent', { items: [wireItem('i1'), wireItem('i2', { headers: { 'X-Custom': 'a\nb' } })] }, /^items\.1\.headers\.X-Custom: "a\\nb" /],
  ['an id that repeats', { items: [wireItem('i1'), wireItem('i1')] }, /^items: the id "i1" repeats/],
  ['no items', { step: 1 }, /^items: expected at least one item/],
  ['an empty list', { items: [] }, /^items: expected at least one item/],
  ['items that are no list', { items: { a: wireItem('i1') } }, /^items: expected an array/],
  ['a step that is no number', { step: 'x', items: [wireItem('i1')] }, /^step: /],
  ['half a text', '{"items":[{"id":"i1"', /^body: the JSON text is not complete/],
  ['no JSON', '{"items":[}', /^body: /],
  ['a list', '[1,2]', /^items: expected at least one item/],
  ['more behind the text', `${JSON.stringify({ items: [wireItem('i1')] })}}`, /^body: /]
]

for (const [name, body, problem] of INVALID) {
  test(`should refuse a submission with ${name}, and name the field`, async t => {
    const store = new Store()
    const outcome = await read(store, cut(bytesOf(body), 16))
    t.is(outcome.kind, 'invalid')
    if (outcome.kind === 'invalid') t.regex(outcome.problem, problem)
    t.is(store.submitted, undefined)
  })
}

test('should refuse bytes that are not UTF-8, and bodies above the limit', async t => {
  const bytes = bytesOf({ items: [wireItem('i1')] })
  bytes[bytes.indexOf('käse')] = 0xff
  t.is((await read(new Store(), [bytes])).kind, 'invalid')
  t.is((await read(new Store(), cut(Buffer.alloc(MAX_BYTES + 1, ' '), 65_536))).kind, 'tooLarge')
})

// A host that stops sent a submission to the store when it could not pass the reply on any more.
test('should not send the end of a submission for whose reply there is no time', async t => {
  for (const itemsCount of [1, 8]) {
    const store = new Store()
    const items = Array.from({ length: itemsCount }, (_value, position) => wireItem(`i${position}`, { body: LARGE_BODY }))
    const outcome = await read(store, [Buffer.from(JSON.stringify({ step: 1, model: 'm1', 'min-version': 1, desired: 1, items }))], () => false)
    t.like(outcome, { kind: 'sent', reply: { kind: 'refused', reason: 'host_stopping' } })
    t.is(store.submitted, undefined)
    t.is(store.parts.length > 0, itemsCount > 1)
  }
})
