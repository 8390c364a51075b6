import type { Socket } from 'node:net'
import test from 'ava'
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import { LoadMode, type EndpointOutcome, type ItemEvent, type ItemOutcome, type StreamedRequest } from '../../src/endpoints/endpointClient.js'
import type { FleetEndpoint } from '../../src/protocol/fleet.js'
import { sleepUntil, systemClock } from '../../src/utils/clock.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { endpoint } from '../fixtures/fleet/fleetFixtures.js'
import { until } from '../fixtures/until.js'
import { startRawEndpoint, completeResponse, ResetTime, writeAndReset, type RawEndpoint, type RawRequest } from '../fixtures/rawEndpoint.js'

const WAIT_MS = 20_000
/** Long enough for the end of an answer to arrive while its reader is behind. */
const READER_PAUSE_MS = 100

const metrics = memoryMetrics()
const client = new PlatformEndpointClient(systemClock, metrics)

async function call (target: FleetEndpoint, attemptId = 'a1', scope = new Scope('test')): Promise<EndpointOutcome> {
  return await client.call({
    endpoint: target,
    method: 'POST',
    path: '/open/7?x=1',
    host: 'decks.example',
    headers: ['X-Custom', 'one', 'X-Custom', 'two', 'Connection', 'keep-alive, X-Hop', 'X-Hop', 'dropped', 'X-Threaddrum-Deadline-Ms', '5'],
    body: Buffer.from('the body'),
    attemptId,
    deadlineMs: systemClock.nowMs() + WAIT_MS
  }, scope)
}

/** The bytes of a response that promises that the request with this id has not run. */
function refusalOf (attemptId: string, status: number): string {
  return `HTTP/1.1 ${status} Refused\r\nX-Threaddrum-Attempt-Id: ${attemptId}\r\nX-Threaddrum-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`
}

function streamRequest (target: FleetEndpoint): StreamedRequest {
  return {
    endpoint: target,
    method: 'POST',
    path: '/stream/7',
    host: 'decks.example',
    headers: [],
    body: Buffer.from('the body'),
    attemptId: 'a1',
    deadlineMs: systemClock.nowMs() + WAIT_MS,
    afterEventId: undefined
  }
}

async function withEndpoint<T> (answer: (request: RawRequest, number: number) => void, use: (raw: RawEndpoint) => Promise<T>): Promise<T> {
  const raw = await startRawEndpoint(answer)
  try {
    return await use(raw)
  } finally {
    raw.close()
  }
}

test('should forward method, path, body and end-to-end headers unchanged, and no hop-by-hop headers', async t => {
  await withEndpoint(({ socket, attemptId }) => { socket.write(completeResponse(attemptId)) }, async raw => {
    const outcome = await call(raw.endpoint)
    t.like(outcome, { kind: 'answered', status: 200, receipt: 'stamp' })
    const [text = ''] = raw.requests
    t.true(text.startsWith('POST /open/7?x=1 HTTP/1.1\r\n'))
    t.true(text.endsWith('\r\n\r\nthe body'))
    t.regex(text, /host: decks\.example\r\n/i)
    t.is(text.match(/X-Custom: (one|two)\r\n/g)?.length, 2)
    t.notRegex(text, /X-Hop/i)
    t.true(text.includes(`x-threaddrum-expect-instance: ${raw.endpoint.endpointId}\r\n`))
    const remainingMs = Number(/x-threaddrum-deadline-ms: (\d+)/i.exec(text)?.[1])
    t.true(remainingMs > 5 && remainingMs <= WAIT_MS)
  })
})

// The connection of a response that was whole at once stayed in use, with the answer still due on it.
test('should accept no answer to another request, and close its connection', async t => {
  for (const foreign of [completeResponse('foreign'), refusalOf('foreign', 503)]) {
    let isClosed = false
    await withEndpoint(({ socket, attemptId }, number) => {
      if (number === 1) socket.once('close', () => { isClosed = true })
      socket.write(number === 1 ? foreign : completeResponse(attemptId))
    }, async raw => {
      t.is((await call(raw.endpoint, 'a1')).kind, 'broken')
      await until(() => isClosed)
      t.is((await call(raw.endpoint, 'a2')).kind, 'answered')
      t.is(raw.requests.length, 2)
    })
  }
})

test('should not give a surplus answer to the next request on the connection', async t => {
  await withEndpoint(({ socket, attemptId }, number) => {
    socket.write(number === 1 ? completeResponse(attemptId, 'first') + completeResponse(attemptId, 'surplus') : completeResponse(attemptId, 'second'))
  }, async raw => {
    await call(raw.endpoint, 'a1')
    const outcome = await call(raw.endpoint, 'a2')
    t.false(outcome.kind === 'answered' && Buffer.from(outcome.body).toString() === 'surplus')
  })
})

test('should report an answer as broken that is truncated, is not HTTP, or lacks a receipt', async t => {
  const answers = [
    (attemptId: string) => completeResponse(attemptId).slice(0, -2),
    () => 'neither head nor tail\r\n\r\n',
    (attemptId: string) => `HTTP/1.1 200 OK\r\nX-Threaddrum-Attempt-Id: ${attemptId}\r\nContent-Length: 2\r\n\r\nok`,
    (attemptId: string) => completeResponse(attemptId, 'zip', 'Content-Encoding: gzip\r\n'),
    () => completeResponse('').replace(/X-Threaddrum-Attempt-Id: \r\n/, '')
  ]
  for (const [position, answer] of answers.entries()) {
    await withEndpoint(({ socket, attemptId }) => { socket.end(answer(attemptId)) }, async raw => {
      t.is((await call(raw.endpoint)).kind, 'broken', `answer ${position}`)
    })
  }
})

test('should report a request as not executed only if the endpoint says so', async t => {
  const refusal = (status: string, extra = '') => (attemptId: string): string => `HTTP/1.1 ${status}\r\nX-Threaddrum-Attempt-Id: ${attemptId}\r\n${extra}Content-Length: 0\r\n\r\n`
  const cases: Array<[(attemptId: string) => string, EndpointOutcome['kind']]> = [
    [refusal('503 Service Unavailable', 'X-Threaddrum-Not-Executed: 1\r\n'), 'notExecuted'],
    [refusal('429 Too Many Requests', 'X-Threaddrum-Not-Executed: 1\r\n'), 'notExecuted'],
    [refusal('421 Misdirected Request', 'X-Threaddrum-Instance-Id: e9\r\n'), 'misdirected'],
    [refusal('503 Service Unavailable', 'X-Threaddrum-Server-Stamp: s\r\n'), 'answered'],
    [refusal('500 Internal Server Error', 'X-Threaddrum-Server-Stamp: s\r\n'), 'answered']
  ]
  for (const [answer, kind] of cases) {
    await withEndpoint(({ socket, attemptId }) => { socket.write(answer(attemptId)) }, async raw => {
      t.is((await call(raw.endpoint)).kind, kind)
    })
  }
})

test('should report that nothing ran when connecting fails', async t => {
  const raw = await startRawEndpoint(() => {})
  raw.close()
  t.is((await call(endpoint('e2', { address: raw.endpoint.address }))).kind, 'unreached')
})

test('should close the connection of a request whose caller disconnected', async t => {
  let onClosed = (): void => {}
  const closed = new Promise<void>(resolve => { onClosed = resolve })
  await withEndpoint(({ socket }) => { socket.on('close', () => onClosed()) }, async raw => {
    const scope = new Scope('caller')
    const outcome = call(raw.endpoint, 'a1', scope)
    await until(() => raw.requests.length > 0)
    scope.close('the caller hung up')
    await t.throwsAsync(outcome)
    await closed
    t.pass()
  })
})

async function runItem (raw: RawEndpoint, afterEventId?: number): Promise<{ outcome: ItemOutcome, events: ItemEvent[] }> {
  const events: ItemEvent[] = []
  const request = { endpoint: raw.endpoint, path: '/hints/1', host: 'decks.example', headers: [], body: Buffer.from('x'), attemptId: 'i1', deadlineMs: systemClock.nowMs() + WAIT_MS, afterEventId }
  const outcome = await client.runItem(request, new Scope('test'), event => events.push(event))
  return { outcome, events }
}

function streamHead (version: number): string {
  return `HTTP/1.1 200 OK\r\nX-Threaddrum-Attempt-Id: i1\r\nX-Threaddrum-Server-Stamp: s\r\nX-Threaddrum-Weight-Versions: ${version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`
}

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

const END = '0\r\n\r\n'

test('should report the weight version of each event, also when it changes within a stream', async t => {
  await withEndpoint(({ socket }) => {
    socket.write(streamHead(6) + chunk('id: 1\ndata: a\n\n') + chunk('x-threaddrum-weight-versions: 7\nid: 2\ndata: b\n\n') + chunk('id: 3\ndata: c\n\n') + END)
  }, async raw => {
    const { outcome, events } = await runItem(raw)
    t.is(outcome.kind, 'finished')
    t.deepEqual(events, [{ id: 1, data: 'a', version: 6 }, { id: 2, data: 'b', version: 7 }, { id: 3, data: 'c', version: 7 }])
  })
})

test('should request to resume after an event, and accept only the next event id', async t => {
  await withEndpoint(({ socket }) => { socket.write(streamHead(1) + chunk('id: 5\ndata: e\n\n') + chunk('id: 7\ndata: g\n\n') + END) }, async raw => {
    const { outcome, events } = await runItem(raw, 4)
    t.regex(raw.requests[0] ?? '', /last-event-id: 4\r\n/i)
    t.is(outcome.kind, 'broken')
    t.deepEqual(events.map(({ id }) => id), [5])
  })
})

test('should report a truncated stream as broken, and deliver its complete events', async t => {
  await withEndpoint(({ socket }) => { socket.end(streamHead(1) + chunk('id: 1\ndata: a\n\n') + chunk('id: 2\nda')) }, async raw => {
    const { outcome, events } = await runItem(raw)
    t.is(outcome.kind, 'broken')
    t.deepEqual(events.map(({ id }) => id), [1])
  })
})

test('should forward a streamed answer as it arrives, and report its end only if it is complete', async t => {
  for (const [ending, kind] of [['0\r\n\r\n', 'ended'], ['', 'broken']] as const) {
    await withEndpoint(({ socket, attemptId }) => {
      const head = ['HTTP/1.1 200 OK', 'content-type: text/event-stream', `x-threaddrum-attempt-id: ${attemptId}`, 'x-threaddrum-server-stamp: stamp', 'transfer-encoding: chunked']
      socket.write(`${head.join('\r\n')}\r\n\r\n7\r\npiece 1\r\n`)
      setImmediate(() => socket.end(`7\r\npiece 2\r\n${ending}`))
    }, async raw => {
      const chunks: string[] = []
      const heads: number[] = []
      const outcome = await client.stream({ ...streamRequest(raw.endpoint), afterEventId: 3 }, new Scope('test'), {
        onHead: ({ status }) => heads.push(status),
        onData: async chunk => { chunks.push(Buffer.from(chunk).toString()); return undefined }
      })
      t.is(outcome.kind, kind)
      t.is(chunks.join(''), 'piece 1piece 2')
      t.deepEqual(heads, [200])
      t.regex(raw.requests[0] ?? '', /last-event-id: 3\r\n/i)
    })
  }
})

test('should abort a stream that its listener rejects, and report a refusal as such', async t => {
  await withEndpoint(({ socket, attemptId }, number) => {
    if (number === 1) socket.write(completeResponse(attemptId))
    else socket.write(refusalOf(attemptId, 503))
  }, async raw => {
    const handler = { onHead: () => {}, onData: async () => 'not the next event' }
    t.deepEqual(await client.stream(streamRequest(raw.endpoint), new Scope('test'), handler), { kind: 'broken', reason: 'not the next event' })
    t.like(await client.stream(streamRequest(raw.endpoint), new Scope('test'), handler), { kind: 'notExecuted', status: 503 })
  })
})

/** The head of an answer that ends with its connection. */
function headWithoutLength (attemptId: string): string {
  return `HTTP/1.1 200 OK\r\nX-Threaddrum-Attempt-Id: ${attemptId}\r\nX-Threaddrum-Server-Stamp: stamp\r\nX-Threaddrum-Weight-Versions: 1\r\n\r\n`
}

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

/** Sends a request of each kind. */
async function exchanges (target: RawEndpoint): Promise<Array<EndpointOutcome['kind'] | ItemOutcome['kind'] | 'ended'>> {
  const handler = { onHead: () => {}, onData: async () => undefined }
  const plain = await call(target.endpoint)
  const streamed = await client.stream(streamRequest(target.endpoint), new Scope('test'), handler)
  const { outcome: item } = await runItem(target)
  return [plain.kind, streamed.kind, item.kind]
}

// Part of an answer was handed out as whole, because the HTTP client takes a reset for the end of an answer without a length.
for (const time of Object.values(ResetTime)) {
  test(`should report an answer without a length as broken if its connection is reset ${time}`, async t => {
    await withEndpoint(({ socket, attemptId }) => writeAndReset(socket, headWithoutLength(attemptId) + EVENTS, time), async raw => {
      t.deepEqual(await exchanges(raw), ['broken', 'broken', 'broken'])
    })
  })
}

test('should accept a whole answer of stated length whose connection is reset behind it', async t => {
  for (const time of Object.values(ResetTime)) {
    await withEndpoint(({ socket, attemptId }) => writeAndReset(socket, completeResponse(attemptId), time), async raw => {
      t.is((await call(raw.endpoint)).kind, 'answered', time)
    })
  }
})

/** Sizes around those at which undici pauses the parser. */
const BODY_SIZES_BYTES = [65_536, 131_034, 131_072, 200_000, 1_000_000]

// The process ended with a broken invariant of undici, because the end came while the parser was paused.
for (const isReset of [false, true]) {
  test(`should survive that a stream without a length ${isReset ? 'is reset' : 'ends'} while its reader is behind`, async t => {
    for (const bytes of BODY_SIZES_BYTES) {
      await withEndpoint(({ socket, attemptId }) => {
        const answer = headWithoutLength(attemptId) + 'x'.repeat(bytes)
        if (isReset) writeAndReset(socket, answer)
        else socket.end(answer)
      }, async raw => {
        let receivedBytes = 0
        const onData = async (chunk: Uint8Array): Promise<undefined> => {
          receivedBytes += chunk.length
          await sleepUntil(systemClock, new Scope('reader'), systemClock.nowMs() + READER_PAUSE_MS)
        }
        const { kind } = await client.stream(streamRequest(raw.endpoint), new Scope('test'), { onHead: () => {}, onData })
        t.is(kind, isReset ? 'broken' : 'ended')
        t.true(isReset || receivedBytes === bytes, `${receivedBytes} of ${bytes}`)
      })
    }
  })
}

test('should accept an answer without a length that ends in order with its connection, and count it', async t => {
  const countsBefore = metrics.snapshot()['answers.without_length'] ?? 0
  await withEndpoint(({ socket, attemptId }) => { socket.end(headWithoutLength(attemptId) + EVENTS) }, async raw => {
    t.deepEqual(await exchanges(raw), ['answered', 'ended', 'finished'])
    t.true((metrics.snapshot()['answers.without_length'] ?? 0) >= countsBefore + 3)
  })
})

test('should tell how much of an answer had arrived when it broke off, and whether it had a length', async t => {
  for (const [head, part] of [[headWithoutLength('a1'), 'after 4 bytes of an answer without a length'], [completeResponse('a1', 'x'.repeat(9)).slice(0, -9), 'after 4 bytes of an answer of stated length']] as const) {
    await withEndpoint(({ socket }) => writeAndReset(socket, `${head}half`), async raw => {
      const outcome = await call(raw.endpoint)
      t.true(outcome.kind === 'broken' && outcome.isConnectionLost)
      t.true(outcome.kind === 'broken' && outcome.reason.endsWith(part), outcome.kind === 'broken' ? outcome.reason : outcome.kind)
    })
  }
})

const REFUSAL_STATUSES = [421, 429, 503]

// The late copy of a refusal was taken for the refusal of the next request on its connection, which then ran twice.
test('should not take the refusal of another request, or of none, for the one of its own', async t => {
  for (const status of REFUSAL_STATUSES) {
    for (const refusal of [refusalOf('earlier', status), refusalOf('', status).replace(/X-Threaddrum-Attempt-Id: \r\n/, '')]) {
      let closedCount = 0
      await withEndpoint(({ socket }) => {
        socket.once('close', () => { closedCount++ })
        socket.write(refusal)
      }, async raw => {
        t.deepEqual(await exchanges(raw), ['broken', 'broken', 'broken'], `${status}`)
        await until(() => closedCount === 3)
        t.is(raw.requests.length, 3)
      })
    }
  }
})

test('should tell the status and the id of a response to another request, and count it', async t => {
  const ownMetrics = memoryMetrics()
  const ownClient = new PlatformEndpointClient(systemClock, ownMetrics)
  await withEndpoint(({ socket }) => { socket.write(refusalOf('earlier', 503)) }, async raw => {
    const outcome = { kind: 'broken', reason: 'the response, status 503, has the attempt id earlier' }
    t.like(await ownClient.call(streamRequest(raw.endpoint), new Scope('test')), outcome)
    t.like(await ownClient.runItem(streamRequest(raw.endpoint), new Scope('test'), () => {}), outcome)
    t.is(ownMetrics.snapshot()['answers.dropped{reason=foreign_id}'], 2)
  })
})

// The late copy of a refusal of the same request carries its id, so that only the connection tells it from the answer.
test('should send a request that was refused there before over a connection of its own', async t => {
  await withEndpoint(({ socket, attemptId }, number) => {
    socket.write(number === 1 ? refusalOf(attemptId, 503) : completeResponse(attemptId))
  }, async raw => {
    t.is((await call(raw.endpoint)).kind, 'notExecuted')
    for (const connectionsCount of [2, 3]) {
      t.is((await client.call({ ...streamRequest(raw.endpoint), wasRefusedThere: true }, new Scope('test'))).kind, 'answered')
      t.is(raw.connectionsCount(), connectionsCount)
    }
  })
})

const ORDER = { model: 'lm', version: 2, mode: LoadMode.Retain, holder: 'store-1', fencingNumber: 1, expectedOrdersCount: 0 }
const REPORT_BODY = JSON.stringify({ busy: false, seq: 1, models: [{ name: 'lm', version: 1 }] })

// The late answer to a request was taken for the one to an order or a report, which have no id.
test('should take no answer to a request for one to an order or a report', async t => {
  await withEndpoint(({ socket, text }) => {
    const surplus = completeResponse('earlier', REPORT_BODY)
    socket.write(text.startsWith('POST /open/') ? completeResponse('a1') : surplus)
  }, async raw => {
    await call(raw.endpoint)
    const deadlineMs = systemClock.nowMs() + WAIT_MS
    t.is((await client.orderLoad(raw.endpoint, ORDER, deadlineMs, new Scope('test'))).kind, 'unknown')
    t.is(await client.report(raw.endpoint, deadlineMs, new Scope('test')), undefined)
  })
})

test('should take no answer to a report for one to an order', async t => {
  const seen = new Set<Socket>()
  const framed = (text: string): string => `HTTP/1.1 ${text === '' ? '202 Accepted' : '200 OK'}\r\nContent-Length: ${text.length}\r\n\r\n${text}`
  await withEndpoint(({ socket, text }) => {
    // A second answer to a report comes while the next call on its connection waits.
    const isSecondOnConnection = seen.has(socket)
    seen.add(socket)
    socket.write(isSecondOnConnection || text.startsWith('GET') ? framed(REPORT_BODY) : framed(''))
  }, async raw => {
    const deadlineMs = systemClock.nowMs() + WAIT_MS
    t.like(await client.report(raw.endpoint, deadlineMs, new Scope('test')), { isBusy: false, ordersCount: 1 })
    t.is((await client.orderLoad(raw.endpoint, ORDER, deadlineMs, new Scope('test'))).kind, 'underWay')
  })
})

// The events before the cut were listed as the whole output of an item, or handed out as a whole stream.
test('should report an event stream as broken that ends within an event, however its end is told', async t => {
  const cut = 'id: 1\ndata: a\n\nid: 2\nda'
  const chunkedHead = headWithoutLength('i1').replace(/\r\n$/, 'Transfer-Encoding: chunked\r\n\r\n')
  for (const answer of [headWithoutLength('i1') + cut, chunkedHead + chunk(cut) + END]) {
    await withEndpoint(({ socket }) => { socket.end(answer) }, async raw => {
      const { outcome, events } = await runItem(raw)
      t.is(outcome.kind, 'broken')
      t.deepEqual(events.map(({ id }) => id), [1])
    })
  }
  const handler = { onHead: () => {}, onData: async () => undefined }
  const streamHeadOf = (contentType: string): string => headWithoutLength('a1').replace(/\r\n$/, `Content-Type: ${contentType}\r\n\r\n`)
  for (const [contentType, kind] of [['text/event-stream', 'broken'], ['text/plain', 'ended']] as const) {
    await withEndpoint(({ socket }) => { socket.end(streamHeadOf(contentType) + cut) }, async raw => {
      t.is((await client.stream(streamRequest(raw.endpoint), new Scope('test'), handler)).kind, kind, contentType)
    })
  }
})
