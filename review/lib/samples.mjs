/** Engines that stream the events of items, and the calls of trainers. */
import { createHash, randomBytes } from 'node:crypto'
import { answer, ranHeaders } from './engine.mjs'
import { call } from './system.mjs'

export const MODEL = 'daka510000'
export const id = () => randomBytes(8).toString('hex')

/** The data of an event, the same at every engine. */
export function eventData (itemId, number) {
  return `${itemId}.${number}.${createHash('sha256').update(`${itemId} ${number}`).digest('hex')}`
}

/** The whole text of an item. */
export function textOfItem (itemId, count) {
  return Array.from({ length: count }, (_none, number) => eventData(itemId, number + 1)).join('\n')
}

export function eventBytes (itemId, number) {
  return Buffer.from(`id: ${number}\ndata: ${eventData(itemId, number)}\n\n`)
}

/** The bytes of one piece in the chunked coding. */
export function chunk (bytes) {
  return Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')])
}

/** Serves items in batches of slots: an event each `gapMs` for each that runs; what has no place is refused. */
export function itemHandler ({ slots, queue, events, gapMs, onBegin = () => {}, onEnd = () => {}, onBrokenOff = () => {}, isWithoutLength = () => false, isBrokenOff = () => false }) {
  const running = new Set()
  const waiting = []
  const begin = run => {
    running.add(run)
    onBegin(run)
    run.hasLength = !isWithoutLength(run)
    run.breaksOffAfter = !run.hasLength && isBrokenOff(run) ? run.sent + Math.ceil((events - run.sent) / 2) : undefined
    const framing = run.hasLength ? 'Transfer-Encoding: chunked' : 'Connection: close'
    run.channel.write(Buffer.from(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Threaddrum-Attempt-Id: ${run.request.id}\r\nX-Threaddrum-Server-Stamp: stamp.${run.request.id}\r\nX-Threaddrum-Weight-Versions: ${run.version}\r\n${framing}\r\n\r\n`))
    run.timer = setInterval(() => step(run), gapMs)
  }
  const end = run => {
    clearInterval(run.timer)
    if (running.delete(run)) onEnd(run, run.sent >= events)
    const position = waiting.indexOf(run)
    if (position >= 0) waiting.splice(position, 1)
    while (running.size < slots && waiting.length > 0) begin(waiting.shift())
  }
  const step = run => {
    if (run.sent === run.breaksOffAfter) {
      run.channel.onClose = undefined
      onBrokenOff(run)
      run.channel.socket.resetAndDestroy()
      return end(run)
    }
    run.sent++
    const bytes = eventBytes(run.request.id, run.sent)
    run.channel.write(run.hasLength ? chunk(bytes) : bytes)
    if (run.sent < events) return
    run.channel.onClose = undefined
    if (run.hasLength) run.channel.write(Buffer.from('0\r\n\r\n'))
    else run.channel.socket.end()
    end(run)
  }
  return (request, channel, engine) => {
    if (!request.path.startsWith('/lohu930/')) return channel.write(answer(200, ranHeaders(request, `score.${request.id}`), 'scored'))
    if (running.size >= slots && waiting.length >= queue) {
      return channel.write(answer(503, [['X-Threaddrum-Attempt-Id', request.id], ['X-Threaddrum-Not-Executed', '1'], ['X-Threaddrum-Instance-Load', `${running.size},${waiting.length},${slots}`]], ''))
    }
    const run = { request, channel, engine, sent: Number(request.headers['last-event-id'] ?? 0), version: engine.models[0].version }
    channel.onClose = () => end(run)
    if (running.size < slots) begin(run)
    else waiting.push(run)
  }
}

/** A batch submission like those of the sheets. */
export function submissionOf ({ host, step, itemsCount, groupSize, minVersion = 1 }) {
  // The items of a group share their prompt.
  const prompts = Array.from({ length: Math.ceil(itemsCount / groupSize) }, () => randomBytes(96).toString('base64'))
  const items = Array.from({ length: itemsCount }, (_none, number) => ({
    id: id(),
    path: '/lohu930/91c4',
    headers: { 'X-Threaddrum-Model': MODEL, 'X-Threaddrum-Token-Count': '271,1242', 'X-Threaddrum-Prompt-Prefix': '9c2e41:255,5d07b8:16' },
    body: prompts[Math.floor(number / groupSize)],
    tokens: 1513,
    group: `${step}-${Math.floor(number / groupSize)}`,
    scorer: { id: id(), host, path: '/pufi791/5e07', body: randomBytes(96).toString('base64') }
  }))
  return { step, model: MODEL, 'min-version': minVersion, desired: Math.ceil(0.9 * itemsCount / groupSize), items }
}

export class BatchCaller {
  constructor (system, host) {
    this.system = system
    this.host = host
    this.turn = Math.floor(Math.random() * 100)
  }

  /** The next edge machine, as clients that move on to another node. */
  nextFront () {
    const { edges } = this.system
    return this.system.frontOf(edges[this.turn++ % edges.length])
  }

  async submit (batchId, text) {
    return await call(this.nextFront(), 'POST', '/lohu930/7c41e0', { host: this.host, 'x-threaddrum-attempt-id': batchId, 'content-type': 'application/json' }, text, 4_000)
  }

  async read (batchId, after) {
    const outcome = await call(this.nextFront(), 'GET', `/v1/lots/${batchId}?after-rev=${after}`, { host: this.host }, undefined, 3_000)
    return outcome.status === 200 ? { ...outcome, page: JSON.parse(outcome.body.toString()) } : outcome
  }

  async end (batchId) {
    return await call(this.nextFront(), 'DELETE', `/v1/lots/${batchId}`, { host: this.host }, undefined, 3_000)
  }
}

/** A desired state with a route for samples, and one for plain and reward calls. */
export function configOf ({ host, samplesService, plainService, maxQueueS = 12 }) {
  return {
    version: 1,
    routes: [
      { name: 'r-plain', host, 'path-prefix': '/pufi791/', 'route-type': 'idempotent', 'timeout-ms': 1_500, 'slo-ms': 192, priority: 2, service: plainService, 'max-attempts': 4 },
      { name: 'r-samples', host, 'path-prefix': '/lohu930/', 'route-type': 'rollout', 'timeout-ms': 10_000, 'slo-ms': 400, 'due-ms': 7_500, 'max-queue-s': maxQueueS, priority: 0, service: samplesService, 'max-attempts': 3 }
    ],
    services: [
      { name: samplesService, 'health-path': '/healthz', 'max-conns': 170, protocol: 'h1', tls: false, engine: { slots: 12, 'kv-capacity': 36_982, 'kv-bytes': 327_680, 'link-mbps': 1_400_000, moves: true, backups: true, stride: 54, most: 12, 'pin-ms': 4_000, 'hold-ms': 2_000, handle_s: 5, models: [{ name: MODEL }] } },
      { name: plainService, 'health-path': '/healthz', 'max-conns': 110, protocol: 'h1', tls: false }
    ],
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 33_554_432, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
  }
}
