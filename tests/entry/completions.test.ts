/**
 * Completions through an entry host: answers stay complete and correct although
 * engines send chunks out of order, twice, in part or with another id, or fail
 * in mid-stream.
 */
import { once } from 'node:events'
import type { Socket } from 'node:net'
import test from 'ava'
import { request } from 'undici'
import { EndpointKind } from '../../src/protocol/resources.js'
import { EntryCluster, type TestHost } from '../fixtures/entryCluster.js'
import { chunkEvent, completionOf, TestEndpoint, type Handler } from '../fixtures/testEndpoint.js'
import { until } from '../fixtures/until.js'

const SSE = { 'content-type': 'text/event-stream' }

async function withEngines (handlers: Handler[], run: (host: TestHost, engines: TestEndpoint[]) => Promise<void>): Promise<unknown[]> {
  const cluster = new EntryCluster()
  // The timeout exceeds the test, so that only cancellation ends a silent stream.
  const host = await cluster.start('ubungo', { engineSilenceMs: 600_000 })
  const engines = await Promise.all(handlers.map((handler, index) => new TestEndpoint(`engine-${index}`, EndpointKind.Engine, handler).start(host)))
  try {
    await host.ready()
    await run(host, engines)
  } finally {
    await Promise.all(engines.map(engine => engine.kill()))
    await cluster.stop()
  }
  return cluster.fatal
}

interface Answer {
  status: number
  text: string
}

async function complete (host: TestHost, fields: Record<string, unknown> = {}, headers: Record<string, string> = {}): Promise<Answer> {
  const answer = await request(`${host.url}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify({ model: 'practice-lm', prompt: 'drum', max_tokens: 8, ...fields })
  })
  return { status: answer.statusCode, text: await answer.body.text() }
}

function answers (tokens: string[]): Handler {
  return (_request, response, body) => {
    const { request_id: id = '', resume_tokens: resumed = [] } = completionOf(body)
    response.writeHead(200, SSE)
    for (let index = resumed.length; index < tokens.length; index++) {
      response.write(chunkEvent('e', id, index, [tokens[index] ?? ''], index === tokens.length - 1))
    }
    response.end('data: [DONE]\n\n')
  }
}

const WORDS = ['a', 'b', 'c', 'd']

test('should return a completion as one response and as a stream', async t => {
  const fatal = await withEngines([answers(WORDS)], async host => {
    const whole = await complete(host)
    t.is(whole.status, 200, whole.text)
    t.like(JSON.parse(whole.text), { text: 'abcd', finish_reason: 'stop', versions: { 0: { fromToken: 0, toToken: 4, weightVersion: 1 } } })
    const stream = await complete(host, { stream: true }, { 'x-request-id': 'mine' })
    t.is(stream.text.match(/"id":"mine"/g)?.length, 4)
    t.true(stream.text.endsWith('data: [DONE]\n\n'))
  })
  t.deepEqual(fatal, [])
})

test('should refuse a body with invalid UTF-8 and run nothing', async t => {
  let runsCount = 0
  const counting: Handler = async (request, response, body) => {
    runsCount++
    await answers(WORDS)(request, response, body)
  }
  await withEngines([counting], async host => {
    const text = JSON.stringify({ model: 'practice-lm', prompt: 'drum?', max_tokens: 8 })
    const body = Buffer.from(text)
    body[text.indexOf('?')] = 0xff
    const answer = await request(`${host.url}/v1/completions`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
    t.is(answer.statusCode, 400)
    t.is(runsCount, 0)
  })
})

test('should assemble out-of-order and duplicate chunks without repeating tokens', async t => {
  const shuffled: Handler = (_request, response, body) => {
    const { request_id: id = '' } = completionOf(body)
    response.writeHead(200, SSE)
    response.write(chunkEvent('e', id, 2, ['c', 'd'], true))
    response.write(chunkEvent('e', id, 0, ['a']))
    response.write(chunkEvent('e', id, 0, ['a', 'b']))
    response.write(chunkEvent('e', id, 0, ['a']))
    response.end('data: [DONE]\n\n')
  }
  await withEngines([shuffled], async host => {
    t.like(JSON.parse((await complete(host)).text), { text: 'abcd', finish_reason: 'stop' })
  })
})

test('should drop and count chunks with another request id', async t => {
  const mixed: Handler = (_request, response, body) => {
    const { request_id: id = '' } = completionOf(body)
    response.writeHead(200, SSE)
    response.write(chunkEvent('e', 'someone-else', 0, ['SECRET']))
    response.write(chunkEvent('e', id, 0, WORDS, true))
    response.end('data: [DONE]\n\n')
  }
  await withEngines([mixed], async host => {
    t.like(JSON.parse((await complete(host)).text), { text: 'abcd' })
    t.is(host.metrics.snapshot()['tokens.discarded{reason=foreign_id}'], 1)
  })
})

// The late copy of a rejection ended the next completion on its connection as invalid.
test('should not take the late copy of an answer for the answer to the next completion', async t => {
  const rejection = 'HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\nno'
  const rejected = new Set<Socket>()
  const twice: Handler = (request, response, body) => {
    const { prompt } = completionOf(body)
    if (prompt !== 'invalid' && !rejected.has(request.socket)) return answers(WORDS)(request, response, body)
    response.detachSocket(request.socket)
    request.socket.write(rejection)
    rejected.add(request.socket)
  }
  await withEngines([twice], async host => {
    for (let round = 0; round < 3; round++) {
      t.is((await complete(host, { prompt: 'invalid' })).status, 502)
      t.is((await complete(host)).status, 200)
    }
  })
})

test('should resume on another engine when one fails in mid-stream', async t => {
  const dying: Handler = (request, response, body) => {
    const { request_id: id = '', resume_tokens: resumed } = completionOf(body)
    if (resumed) return answers(WORDS)(request, response, body)
    response.writeHead(200, SSE)
    response.write(chunkEvent('e', id, 0, ['a', 'b']), () => response.destroy())
  }
  await withEngines([dying, dying], async host => {
    const stream = await complete(host, { stream: true })
    const tokens = [...stream.text.matchAll(/"tokens":\["(\w)(?:","(\w))?"\]/g)].flatMap(([, first, second]) => second ? [first, second] : [first])
    t.deepEqual(tokens, WORDS)
    t.is(host.metrics.snapshot()['request.retried{pool=lm,reason=stream_resumed}'], 1)
  })
})

test('should treat a stream without a finish reason as failed, never as complete', async t => {
  const half: Handler = (_request, response, body) => {
    const { request_id: id = '' } = completionOf(body)
    response.writeHead(200, SSE)
    response.end(chunkEvent('e', id, 0, ['a', 'b']) + 'data: [DONE]\n\n')
  }
  await withEngines([half], async host => {
    const { status, text } = await complete(host)
    t.is(status, 503)
    t.like(JSON.parse(text), { executed: 'unknown' })
  })
})

test('should cancel the request at the engine when the caller disconnects', async t => {
  let cancelled = false
  const endless: Handler = (_request, response, body) => {
    const { request_id: id = '' } = completionOf(body)
    response.on('close', () => { cancelled = !response.writableFinished })
    response.writeHead(200, SSE)
    response.write(chunkEvent('e', id, 0, ['a']))
  }
  await withEngines([endless], async host => {
    const controller = new AbortController()
    const answer = await request(`${host.url}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'practice-lm', prompt: 'drum', stream: true }),
      signal: controller.signal
    })
    answer.body.on('error', () => {})
    controller.abort()
    await until(() => cancelled)
    t.true(cancelled)
  })
})

test('should apply back pressure to the engine while the caller reads slowly', async t => {
  const padding = 'x'.repeat(16_384)
  let sentCount = 0
  const eager: Handler = async (_request, response, body) => {
    const { request_id: id = '' } = completionOf(body)
    const closed = new AbortController()
    response.on('close', () => closed.abort())
    response.writeHead(200, SSE)
    for (let index = 0; index < 4_000 && !response.destroyed; index++) {
      const fits = response.write(chunkEvent('e', id, index, [padding]))
      sentCount = index + 1
      if (!fits) await once(response, 'drain', { signal: closed.signal }).catch(() => {})
    }
  }
  await withEngines([eager], async host => {
    const answer = await request(`${host.url}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'practice-lm', prompt: 'drum', stream: true, max_tokens: 100_000 })
    })
    let lastCount = -1
    await until(() => {
      const isStalled = sentCount > 0 && sentCount === lastCount
      lastCount = sentCount
      return isStalled
    }, 500)
    t.true(sentCount < 3_000, `the engine sent ${sentCount} chunks to a caller that reads none`)
    answer.body.on('error', () => {}).destroy()
  })
})

test('should refuse invalid requests, and new ones without a lease, at once and in JSON', async t => {
  await withEngines([answers(WORDS)], async host => {
    const malformed = await complete(host, { max_tokens: 'many' })
    t.is(malformed.status, 400)
    t.like(JSON.parse(malformed.text), { reason: 'malformed_request', executed: 'no' })
    const unknown = await complete(host, { model: 'nobody' })
    t.like(JSON.parse(unknown.text), { reason: 'unknown_pool', executed: 'no' })
    const deadline = await complete(host, {}, { 'x-deadline-ms': 'soon' })
    t.like(JSON.parse(deadline.text), { reason: 'malformed_request' })
    host.control.isLeaseHeld = false
    const lost = await complete(host)
    t.like(JSON.parse(lost.text), { reason: 'lease_lost', executed: 'no' })
  })
})

test('should let a stream finish after the configuration lease is lost', async t => {
  let release = (): void => {}
  const held = new Promise<void>(resolve => { release = resolve })
  const slow: Handler = async (_request, response, body) => {
    const { request_id: id = '' } = completionOf(body)
    response.writeHead(200, SSE)
    response.write(chunkEvent('e', id, 0, ['a']))
    await held
    response.end(chunkEvent('e', id, 1, ['b'], true) + 'data: [DONE]\n\n')
  }
  await withEngines([slow], async (host, [engine]) => {
    const running = complete(host)
    await until(() => engine?.receivedCount === 1)
    host.control.isLeaseHeld = false
    release()
    t.like(JSON.parse((await running).text), { text: 'ab' })
  })
})
