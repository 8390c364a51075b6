/**
 * Whose answer it is: nothing of an answer counts for another request than its own.
 */
import type { Socket } from 'node:net'
import test from 'ava'
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import { LoadMode } from '../../src/endpoints/endpointClient.js'
import { systemClock } from '../../src/utils/clock.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { call, client, exchanges, refusalOf, streamRequest, WAIT_MS, withEndpoint } from '../fixtures/endpointCalls.js'
import { completeResponse } from '../fixtures/rawEndpoint.js'
import { until } from '../fixtures/until.js'

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
