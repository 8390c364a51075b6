import test from 'ava'
import type { EndpointOutcome } from '../../src/endpoints/endpointClient.js'
import { Scope } from '../../src/utils/scope.js'
import { call, chunk, client, END, refusalOf, runItem, streamHead, streamRequest, WAIT_MS, withEndpoint } from '../fixtures/endpointCalls.js'
import { endpoint } from '../fixtures/fleet/fleetFixtures.js'
import { completeResponse, startRawEndpoint } from '../fixtures/rawEndpoint.js'
import { until } from '../fixtures/until.js'

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
