/**
 * Which ends of an answer make it whole, and which leave it a part.
 */
import test from 'ava'
import { sleepUntil, systemClock } from '../../src/utils/clock.js'
import { Scope } from '../../src/utils/scope.js'
import { call, chunk, client, END, EVENTS, exchanges, headWithoutLength, metrics, runItem, streamRequest, withEndpoint } from '../fixtures/endpointCalls.js'
import { completeResponse, ResetTime, writeAndReset } from '../fixtures/rawEndpoint.js'

/** Long enough for the end of an answer to arrive while its reader is behind. */
const READER_PAUSE_MS = 100

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
