/**
 * The head of a refusal says all that counts: what comes of its body, or does not come,
 * holds neither the request nor its connection.
 */
import test from 'ava'
import type { Socket } from 'node:net'
import { request } from 'undici'
import { RouteKind } from '../../src/protocol/routing.js'
import { Scope } from '../../src/utils/scope.js'
import { serve } from '../fixtures/callerFixture.js'
import { call, client, runItem, streamRequest, withEndpoint } from '../fixtures/endpointCalls.js'
import { HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { completeResponse, type RawEndpoint } from '../fixtures/rawEndpoint.js'
import { until } from '../fixtures/until.js'

const BODY = 'refused'
/** Requests of a caller, of which either engine gets some. */
const REQUESTS_COUNT = 20

/** A refusal with a part of its body. */
function refusal (attemptId: string, status: number, part: string): string {
  return `HTTP/1.1 ${status} Refused\r\nX-Threaddrum-Attempt-Id: ${attemptId}\r\nX-Threaddrum-Not-Executed: 1\r\nContent-Length: ${BODY.length}\r\n\r\n${part}`
}

const handler = { onHead: () => {}, onData: async () => undefined }

const USES: Record<string, (raw: RawEndpoint) => Promise<{ kind: string }>> = {
  'a request': async raw => await call(raw.endpoint),
  'a request over its own connection': async raw => await client.call({ ...streamRequest(raw.endpoint), wasRefusedThere: true }, new Scope('test')),
  'a stream': async raw => await client.stream(streamRequest(raw.endpoint), new Scope('test'), handler),
  'an item': async raw => (await runItem(raw)).outcome
}

// A refusal whose body never came held its request until the deadline, and then counted as one that may have run.
for (const [use, run] of Object.entries(USES)) {
  for (const [status, kind] of [[503, 'notExecuted'], [421, 'misdirected']] as const) {
    test(`should settle ${use} by the head of a ${status}, and close its connection if the body does not come`, async t => {
      for (const part of ['', BODY.slice(0, -1)]) {
        let closedCount = 0
        await withEndpoint(({ socket, attemptId }) => {
          socket.once('close', () => { closedCount++ })
          socket.write(refusal(attemptId, status, part))
        }, async raw => {
          t.is((await run(raw)).kind, kind)
          await until(() => closedCount === 1)
        })
      }
    })
  }
}

// A connection with an unread body would give the rest of it to the next request.
test('should send nothing over a connection whose refusal is not read, and go on over one whose refusal is whole', async t => {
  for (const [part, isUsedAgain] of [['', false], [BODY, true]] as const) {
    const sockets: Socket[] = []
    await withEndpoint(({ socket, attemptId }, number) => {
      sockets.push(socket)
      socket.write(number === 1 ? refusal(attemptId, 503, part) : completeResponse(attemptId))
    }, async raw => {
      t.is((await call(raw.endpoint)).kind, 'notExecuted')
      const isUsed = (): boolean => sockets.slice(1).includes(sockets[0] as Socket)
      await until(async () => {
        t.is((await call(raw.endpoint)).kind, 'answered')
        return isUsed() || (!isUsedAgain && sockets[0]?.destroyed === true)
      })
      t.is(isUsed(), isUsedAgain)
    })
  }
})

// Callers waited for such a body until their deadline, with an engine beside it that was free.
for (const kind of [RouteKind.Idempotent, RouteKind.AtMostOnce]) {
  test(`should try another engine for ${kind} requests that are refused by a head without its body`, async t => {
    const { url, view } = await serve(t)
    await withEndpoint(({ socket, attemptId }) => { socket.write(refusal(attemptId, 503, '')) }, async refusing => {
      await withEndpoint(({ socket, attemptId }) => { socket.write(completeResponse(attemptId)) }, async sound => {
        const services = [{ service: sound.endpoint.service, weight: 1 }]
        view.merge('control-1', { routing: routing(1, [route({ kind, timeoutMs: 3_000, services })]), endpoints: [refusing.endpoint, sound.endpoint] })
        for (let number = 0; number < REQUESTS_COUNT; number++) {
          const { statusCode, body } = await request(url, { method: 'POST', headers: { host: HOST, 'x-threaddrum-attempt-id': `a${number}` } })
          await body.text()
          t.is(statusCode, 200)
        }
        t.true(refusing.requests.length > 0)
      })
    })
  })
}
