/**
 * A stand-in engine on a raw TCP server: it registers, answers its health path, its
 * report and orders, and hands every other request to a function of the test, which
 * writes the bytes of the answer. It closes work whose channel has closed.
 */
import { createServer } from 'node:net'
import { call, sleep } from './system.mjs'

const HEARTBEAT_MS = 1_200

export class Engine {
  /** @param handle called with (request, channel) for each request that is neither a health probe, a report nor an order */
  constructor ({ id, service, ip, port, zone, slots, models = [], controlAddresses, handle }) {
    Object.assign(this, { id, service, ip, port, zone, slots, models, controlAddresses, handle })
    this.seq = 0
    this.orders = 0
    this.sockets = new Set()
    this.isStopped = false
    this.server = createServer(socket => this._serve(socket))
  }

  async start () {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.port, this.ip, resolve)
    })
    this._beat()
  }

  stop () {
    this.isStopped = true
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** The address refuses new channels from now on, and the open ones are closed. */
  crash () {
    this.stop()
  }

  /** The engine is back at its address under its id, with the weights that it had. */
  async restart () {
    this.isStopped = false
    this.orders = 0
    this.server = createServer(socket => this._serve(socket))
    await this.start()
  }

  async _beat () {
    for (let turn = 0; !this.isStopped;) {
      const body = JSON.stringify({ service: this.service, address: `${this.ip}:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', 'cold-left-ms': 0, ...(this.models.length > 0 ? { stage: 'hybrid', models: this.models } : {}), seq: ++this.seq })
      const address = this.controlAddresses[turn % this.controlAddresses.length]
      const { status } = await call(address, 'POST', `/v1/instances/${this.id}/heartbeat`, { 'content-type': 'application/json' }, body, 1_000)
      if (status < 200 || status > 299) turn++
      await sleep(status >= 200 && status <= 299 ? HEARTBEAT_MS : 100)
    }
  }

  _serve (socket) {
    socket.setNoDelay(true)
    this.sockets.add(socket)
    const channel = { socket, isClosed: false, write: bytes => { if (!channel.isClosed) socket.write(bytes) } }
    const onEnd = () => {
      channel.isClosed = true
      this.sockets.delete(socket)
      channel.onClose?.()
    }
    socket.on('error', onEnd)
    socket.on('close', onEnd)
    socket.on('end', onEnd)
    let pending = Buffer.alloc(0)
    socket.on('data', chunk => {
      pending = Buffer.concat([pending, chunk])
      for (;;) {
        const headEnd = pending.indexOf('\r\n\r\n')
        if (headEnd < 0) return
        const request = parseHead(pending.subarray(0, headEnd).toString('latin1'))
        const length = Number(request.headers['content-length'] ?? 0)
        if (pending.length < headEnd + 4 + length) return
        request.body = pending.subarray(headEnd + 4, headEnd + 4 + length)
        pending = pending.subarray(headEnd + 4 + length)
        this._answer(request, channel)
      }
    })
  }

  _answer (request, channel) {
    if (request.path === '/healthz') return channel.write(answer(200, [['X-Threaddrum-Instance-Id', this.id]], ''))
    if (request.path === '/v1/report') {
      const report = { stage: 'hybrid', models: this.models, busy: false, seq: this.orders, waiting: 0, running: 0, 'kv-used': 0, 'kv-total': 90_000, handles: 0 }
      return channel.write(answer(200, [['Content-Type', 'application/json']], JSON.stringify(report)))
    }
    if (request.path === '/v1/order') {
      const order = JSON.parse(request.body.toString())
      const isNew = this.models.some(({ name, version }) => name === order.model && version !== order.version)
      this.models = this.models.map(model => (model.name === order.model ? { ...model, version: order.version } : model))
      if (isNew) this.orders++
      return channel.write(answer(isNew ? 202 : 200, [], ''))
    }
    if (request.headers['x-threaddrum-expect-instance'] !== undefined && request.headers['x-threaddrum-expect-instance'] !== this.id) {
      return channel.write(answer(421, [['X-Threaddrum-Attempt-Id', request.id], ['X-Threaddrum-Not-Executed', '1']], ''))
    }
    this.handle(request, channel, this)
  }
}

function parseHead (text) {
  const [first, ...lines] = text.split('\r\n')
  const [method, path] = first.split(' ')
  const headers = {}
  for (const line of lines) {
    const colon = line.indexOf(':')
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  return { method, path, headers, id: headers['x-threaddrum-attempt-id'] ?? '' }
}

/** The bytes of an answer with a length; header values may be strings or buffers. */
export function answer (status, headers, body) {
  const lines = [...headers, ['Content-Length', String(Buffer.byteLength(body))]].map(([name, value]) => Buffer.concat([Buffer.from(`${name}: `), Buffer.from(value), Buffer.from('\r\n')]))
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Answer'}\r\n`), ...lines, Buffer.from('\r\n'), Buffer.from(body)])
}

/** The heads of an answer by an engine that has run a request. */
export function ranHeaders (request, stamp) {
  return [['X-Threaddrum-Attempt-Id', request.id], ['X-Threaddrum-Server-Stamp', stamp]]
}
