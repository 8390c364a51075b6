/**
 * Stand-ins of engines, which follow our pages: a plain service and a model engine.
 * They register at the control nodes and say which requests they ran.
 */
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:http'
import { call, sleep } from './site.mjs'

const HEARTBEAT_MS = 1200

export class Engine {
  /** @param options.onRequest handles a forwarded request; the default answers 200 after `workMs` */
  constructor (site, { service, position, zone, slots = 12, models, workMs = 5, onRequest, maxConns = 1000 }) {
    this.site = site
    this.service = service
    this.zone = zone ?? site.zones[position % site.zones.length]
    this.slots = slots
    this.workMs = workMs
    this.ip = site.engineIp(position)
    this.port = 9000
    this.address = `${this.ip}:${this.port}`
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.seq = 0
    this.ordersCount = 0
    this.isBusy = false
    this.state = 'ready'
    this.models = models?.map(name => ({ name, version: 1, adapters: [] }))
    this.runs = []
    this.running = 0
    this.isBeating = true
    this.sockets = new Set()
    this.onRequest = onRequest
    this.eventsCount = 12
    this.eventMs = 40
    site.closers.push(() => this.end())
  }

  async start () {
    this.server = createServer((request, response) => this._serve(request, response))
    this.server.keepAliveTimeout = 30_000
    this.server.on('connection', socket => { this.sockets.add(socket); socket.on('close', () => this.sockets.delete(socket)); socket.on('error', () => {}) })
    await new Promise((resolve, reject) => { this.server.once('error', reject); this.server.listen(this.port, this.ip, resolve) })
    this._beat()
    return this
  }

  /** Crashes: all channels are reset and nothing listens any more. */
  async end () {
    this.isBeating = false
    for (const socket of this.sockets) socket.resetAndDestroy()
    if (this.server) await new Promise(resolve => this.server.close(resolve))
    this.server = undefined
  }

  heartbeatBody () {
    return { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, 'cold-left-ms': 0, ...(this.models ? { stage: 'hybrid', models: this.models } : {}), seq: ++this.seq }
  }

  async _beat () {
    let position = Math.floor(Math.random() * this.site.controls.length)
    while (this.isBeating) {
      const node = this.site.controls[position % this.site.controls.length]
      const outcome = await call({ address: this.site.control(node), method: 'POST', path: `/v1/instances/${this.id}/heartbeat`, headers: { 'content-type': 'application/json' }, body: this.heartbeatBody(), timeoutMs: 1000 })
      const isAcknowledged = outcome.kind === 'answered' && outcome.status < 300
      if (!isAcknowledged) position++
      if (isAcknowledged) this.onAcknowledged?.(this.state)
      await sleep(isAcknowledged ? HEARTBEAT_MS : 200)
    }
  }

  _serve (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('end', () => {
      const body = Buffer.concat(chunks)
      if (request.url === '/v1/report') return this._report(response)
      if (request.url === '/v1/order') return this._order(request, response, body)
      if (request.url === '/healthz') return respond(response, 200, { 'X-Threaddrum-Instance-Id': this.id, 'X-Threaddrum-Instance-Load': this.load })
      const attemptId = request.headers['x-threaddrum-attempt-id']
      const expected = request.headers['x-threaddrum-expect-instance']
      if (expected !== undefined && expected !== this.id) return respond(response, 421, { 'X-Threaddrum-Attempt-Id': attemptId, 'X-Threaddrum-Not-Executed': '1' })
      const received = { engine: this, request, response, body, attemptId, atMs: this.site.nowMs(), path: request.url, method: request.method }
      if (this.onRequest) this.onRequest(received)
      else this.run(received)
    })
  }

  get load () { return `${Math.min(this.running, this.slots)},0,${this.slots}` }

  stamp () { return `${randomBytes(3).toString('hex')}.07.5a2.600.0` }

  /** Runs a plain request. */
  async run ({ response, attemptId, body, path, method, atMs }, { workMs = this.workMs, status = 200 } = {}) {
    this.runs.push({ attemptId, path, method, atMs, body })
    this.running++
    await sleep(workMs)
    this.running--
    if (response.destroyed) return
    respond(response, status, { 'X-Threaddrum-Attempt-Id': attemptId, 'X-Threaddrum-Server-Stamp': this.stamp(), 'X-Threaddrum-Instance-Load': this.load }, `answer to ${attemptId}`)
  }

  /** Streams the events of an item from behind `Last-Event-Id`. */
  async stream ({ request, response, attemptId, path, atMs }, { eventsCount = this.eventsCount, eventMs = this.eventMs, textOf = id => `${attemptId}-${id}` } = {}) {
    const after = Number(request.headers['last-event-id'] ?? 0)
    const run = { attemptId, path, atMs, after, sent: after, isOver: false }
    this.runs.push(run)
    this.running++
    const version = () => this.versionOf(request.headers['x-threaddrum-model'])
    let told = version()
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'X-Threaddrum-Attempt-Id': attemptId, 'X-Threaddrum-Server-Stamp': this.stamp(), 'X-Threaddrum-Weight-Versions': String(told), 'X-Threaddrum-Instance-Load': this.load })
    for (let id = after + 1; id <= eventsCount; id++) {
      await sleep(eventMs)
      if (response.destroyed) break
      const now = version()
      response.write(`${now !== told ? `x-threaddrum-weight-versions: ${now}\n` : ''}id: ${id}\ndata: ${textOf(id)}\n\n`)
      told = now
      run.sent = id
    }
    this.running--
    run.isOver = true
    run.endedAtMs = this.site.nowMs()
    if (!response.destroyed) response.end()
  }

  versionOf (model) { return this.models?.find(({ name }) => name === model)?.version ?? 1 }

  _report (response) {
    respond(response, 200, { 'Content-Type': 'application/json' }, JSON.stringify({ stage: 'hybrid', models: this.models ?? [], busy: this.isBusy, seq: this.ordersCount, waiting: 0, running: this.running, 'kv-used': 0, 'kv-total': 90000, handles: 0 }))
  }

  _order (request, response, body) {
    const order = JSON.parse(body.toString())
    const expected = request.headers['x-threaddrum-expect-instance']
    if (expected !== undefined && expected !== this.id) return respond(response, 421, {})
    this.site.note(`${this.id}: order ${order.model}@${order.version} of ${order.holder}, fence ${order['fencing-token']}`)
    const known = this.models?.find(({ name }) => name === order.model)
    if (!known) return respond(response, 400, {})
    if (known.version >= order.version) return respond(response, 200, {})
    if (this.isBusy || (order['expected-rev'] !== undefined && order['expected-rev'] !== this.ordersCount)) return respond(response, 409, {})
    this.ordersCount++
    this.isBusy = true
    setTimeout(() => { known.version = order.version; this.isBusy = false }, 900)
    respond(response, 202, {})
  }
}

export function respond (response, status, headers, body = '') {
  if (response.destroyed) return
  response.writeHead(status, { ...headers, 'Content-Length': Buffer.byteLength(body) })
  response.end(body)
}
