import test from 'ava'
import { readdirSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { callerPaths } from '../../src/protocol/callers.js'
import { getJson } from '../../demo/localSystem.js'
import { waitFor } from '../../demo/waitFor.js'
import { ProcessSystem } from '../fixtures/processSystem.js'

const REPEATS = 40
const MAX_BODY_BYTES = 10_000
const HEAD_TIMEOUT_MS = 500

function open (host: string): Socket {
  const [ip, port] = host.split(':')
  const socket = connect(Number(port), ip)
  socket.on('error', () => {})
  return socket
}

/** Returns everything received until the peer closes the connection. */
async function exchange (host: string, text: string): Promise<string> {
  const socket = open(host)
  let answer = ''
  socket.on('data', part => { answer += String(part) })
  socket.write(text)
  await new Promise(resolve => socket.once('close', resolve))
  return answer
}

function post (headers: string, body = ''): string {
  return `POST ${callerPaths.completions} HTTP/1.1\r\nhost: x\r\n${headers}\r\n\r\n${body}`
}

async function repeat (action: () => Promise<void>): Promise<void> {
  await Promise.all(Array.from({ length: REPEATS }, action))
}

test('should keep serving and keep no resources for hostile callers', async t => {
  const system = await ProcessSystem.start(t, {
    enginesCount: 1,
    engine: { meanTokensCount: 100_000 },
    limits: { maxBodyBytes: MAX_BODY_BYTES, headTimeoutMs: HEAD_TIMEOUT_MS }
  })
  const host = system.local.entryAddresses[0]!
  const entry = system.entries[0]!
  const openFilesCount = (): number => readdirSync(`/proc/${entry.pid}/fd`).length
  const before = openFilesCount()

  await repeat(async () => { t.regex(await exchange(host, 'NONSENSE\r\n\r\n'), /^(HTTP\/1\.1 400|$)/) })
  await repeat(async () => { t.regex(await exchange(host, post('connection: close\r\ncontent-length: 8', '{"model"')), /^HTTP\/1\.1 400[\s\S]*malformed_request/) })
  await repeat(async () => { t.regex(await exchange(host, post(`connection: close\r\ncontent-length: ${MAX_BODY_BYTES + 1}`)), /^HTTP\/1\.1 413[\s\S]*body_too_large/) })
  await repeat(async () => { t.regex(await exchange(host, post(`x-flood: ${'x'.repeat(40_000)}`)), /^HTTP\/1\.1 431/) })
  await repeat(async () => { t.notRegex(await exchange(host, 'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'), /^HTTP\/1\.1 2/) })
  let startedCount = 0
  await repeat(async () => {
    const body = JSON.stringify({ model: 'practice-lm', prompt: 'p', max_tokens: 100_000, stream: true })
    const socket = open(host)
    socket.write(post(`content-type: application/json\r\nx-caller: hostile\r\nx-priority-class: learners\r\ncontent-length: ${body.length}`, body))
    const head = await new Promise<Buffer>(resolve => socket.once('data', resolve))
    // A host that is slow to place many requests at once may refuse some early, which is allowed.
    if (head.toString().startsWith('HTTP/1.1 200')) startedCount++
    socket.destroy()
  })

  const idle = await waitFor('the host to release all resources', async () => {
    const status = await getJson(`http://${system.local.entryOperatorAddresses[0]}/v1/status`) as { inFlightCount: number } | undefined
    return status?.inFlightCount === 0 && openFilesCount() <= before + REPEATS / 2
  })
  t.true(idle)
  const generations = await waitFor('the engine to be notified of every disconnect', async () => {
    const { generations } = await getJson(`${system.local.engineUrl(0)}/record`) as { generations: Array<{ ended: string }> }
    return generations.every(({ ended }) => ended !== 'running') && generations
  })
  t.true(startedCount > 0)
  t.is(generations.length, startedCount)
  t.is(entry.end, undefined)
  t.true((await system.openStream(host, 'still there?', 5).read).isWhole)
})
