/**
 * Engines that stop in the middle of a stream and close its connection: no caller gets a
 * 200 that is empty or short and framed as whole.
 */
import test, { type ExecutionContext } from 'ava'
import type { Socket } from 'node:net'
import { request } from 'undici'
import { RouteKind } from '../../src/protocol/routing.js'
import { serve } from '../fixtures/callerFixture.js'
import { chunk, END } from '../fixtures/endpointCalls.js'
import { HOST, route, routing } from '../fixtures/fleet/fleetFixtures.js'
import { startRawEndpoint, writeAndReset } from '../fixtures/rawEndpoint.js'

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n']
const WHOLE = EVENTS.join('')

const headOf = (attemptId: string, framing: string): string => `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Threaddrum-Attempt-Id: ${attemptId}\r\nX-Threaddrum-Server-Stamp: stamp\r\n${framing}\r\n`
const ANSWERS: Record<string, (attemptId: string, text: string) => string> = {
  'in chunks': (attemptId, text) => `${headOf(attemptId, 'Transfer-Encoding: chunked\r\n')}${chunk(text)}${END}`,
  'of stated length': (attemptId, text) => `${headOf(attemptId, `Content-Length: ${text.length}\r\n`)}${text}`
}
const ENDINGS: Record<string, (socket: Socket, part: string) => void> = {
  closes: (socket, part) => { socket.end(part) },
  resets: (socket, part) => { writeAndReset(socket, part) }
}

/** Asks for a stream; undefined if it was cut off. */
async function streamOf (url: string, attemptId: string): Promise<{ status: number, text: string | undefined }> {
  try {
    const { statusCode, body } = await request(url, { method: 'POST', headers: { host: HOST, 'x-threaddrum-attempt-id': attemptId } })
    return { status: statusCode, text: await body.text().catch(() => undefined) }
  } catch {
    return { status: 0, text: undefined }
  }
}

async function cutEverywhere (t: ExecutionContext, answer: string, ending: string, isResumable: boolean): Promise<void> {
  const bytesOf = ANSWERS[answer] ?? (() => '')
  const end = ENDINGS[ending] ?? (() => {})
  const length = bytesOf('a1', WHOLE).length
  let cutAt = 0
  const cutting = await startRawEndpoint(({ socket, attemptId }) => end(socket, bytesOf(attemptId, WHOLE).slice(0, cutAt)))
  const sound = await startRawEndpoint(({ socket, attemptId, text }) => {
    const afterId = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0)
    socket.write(bytesOf(attemptId, EVENTS.slice(afterId).join('')))
  })
  t.teardown(() => { cutting.close(); sound.close() })
  const routes = [route({ kind: RouteKind.Stream, isResumable, timeoutMs: 3_000, services: [{ service: cutting.endpoint.service, weight: 1 }] })]
  for (cutAt = 0; cutAt < length; cutAt += 3) {
    const { url, view } = await serve(t)
    view.merge('control-1', { routing: routing(1, routes), endpoints: isResumable ? [cutting.endpoint, sound.endpoint] : [cutting.endpoint] })
    const { status, text } = await streamOf(url, 'a1')
    const isWhole = status === 200 && text === WHOLE
    if (isResumable) t.true(isWhole, `cut at ${cutAt}: ${status} ${String(text)}`)
    else t.true(text === undefined || status !== 200, `cut at ${cutAt}: ${status} ${String(text)}`)
  }
}

for (const answer of Object.keys(ANSWERS)) {
  for (const ending of Object.keys(ENDINGS)) {
    test(`should not frame a stream ${answer} as whole whose engine stops and ${ending}`, async t => {
      await cutEverywhere(t, answer, ending, false)
    })

    test(`should resume a stream ${answer} elsewhere whose engine stops and ${ending}, and lose and repeat nothing`, async t => {
      await cutEverywhere(t, answer, ending, true)
    })
  }
}
