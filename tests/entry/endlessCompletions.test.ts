/**
 * Engines that send bytes without end in place of the chunks of a completion.
 */
import test from 'ava'
import { Agent } from 'undici'
import { ReadDecision, streamFromEngine } from '../../src/entry/completions/engineStream.js'
import { systemClock } from '../../src/utils/clock.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { startPouringEndpoint } from '../fixtures/pouringEndpoint.js'
import { until } from '../fixtures/until.js'

const MEGABYTE = 1024 * 1024
const PIECE = 'x'.repeat(64 * 1024)
const CHUNKED_PIECE = `${PIECE.length.toString(16)}\r\n${PIECE}\r\n`
/** The bound of an event, and the buffers of a loopback connection. */
const MAX_POURED_BYTES = 14 * MEGABYTE

// The store of what had arrived of an event grew until the process ran out of memory.
for (const [name, start, outcome] of [
  ['an event', 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n', /does not end within/],
  ['the text of an error', 'HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n\r\n', /^status 500: x+$/]
] as const) {
  test(`should take a bounded number of bytes of ${name} without end, and close the connection`, async t => {
    const endpoint = await startPouringEndpoint(() => ({ start, piece: CHUNKED_PIECE }))
    const agent = new Agent()
    const scope = new Scope('test')
    t.teardown(async () => {
      endpoint.close()
      await agent.destroy()
    })
    const progress = new Progress(systemClock, scope, systemClock.nowMs() + 20_000)
    const ended = await streamFromEngine(agent, { url: `http://${endpoint.endpoint.address}/v1/completions`, body: {}, engineSilenceMs: 5_000 }, progress, () => ReadDecision.Continue)
    t.is(ended.kind, 'failed')
    t.regex(ended.kind === 'failed' ? ended.message : '', outcome)
    await until(() => endpoint.pouringCount() === 0)
    t.true(endpoint.pouredBytes() <= MAX_POURED_BYTES, `${endpoint.pouredBytes()} bytes`)
  })
}
