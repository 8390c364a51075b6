/**
 * Stand-in engines and a scoring service on loopback addresses, in a separate
 * process: `engines.js IP ENGINES SLOW_ENGINE_INTERVAL`. Each engine streams the
 * events of an item at a fixed pace; the length of an item derives from its id.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'

const EVENT_GAP_MS = 48
const SLOW_FACTOR = 3.3
const MEAN_EVENTS_COUNT = 18
const MAX_EVENTS_COUNT = 128
const EVENT_BYTES = 380
const SCORING_MS = 30

const [ip = '127.0.0.1', enginesText = '31', slowEachText = '0'] = process.argv.slice(2)
const slowEngineInterval = Number(slowEachText)
const FIRST_PORT = 21_000

/** Number of events of an item: heavy-tailed, and deterministic for each item. */
function eventsCountOf (itemId: string): number {
  let hash = 2_166_136_261
  for (const letter of itemId) hash = Math.imul(hash ^ letter.charCodeAt(0), 16_777_619) >>> 0
  const share = (hash % 10_000) / 10_000
  const tail = hash % 100 < 8 ? 5 : 1
  return Math.min(MAX_EVENTS_COUNT, Math.max(1, Math.round(MEAN_EVENTS_COUNT * Math.exp(1.6 * share - 1.1) * tail)))
}

function headers (attemptId: string): Record<string, string> {
  return { 'x-threaddrum-attempt-id': attemptId, 'x-threaddrum-server-stamp': `stamp-${attemptId}`, 'x-threaddrum-weight-versions': '1' }
}

function handleRequest (request: IncomingMessage, response: ServerResponse, gapMs: number): void {
  request.resume()
  const attemptId = String(request.headers['x-threaddrum-attempt-id'])
  if (request.url?.startsWith('/open/')) {
    setTimeout(() => response.writeHead(200, headers(attemptId)).end('scored'), SCORING_MS)
    return
  }
  response.writeHead(200, { ...headers(attemptId), 'content-type': 'text/event-stream' })
  let eventId = Number(request.headers['last-event-id'] ?? 0)
  const lastEventId = eventsCountOf(attemptId)
  const timer = setInterval(() => {
    eventId++
    response.write(`id: ${eventId}\ndata: ${String(eventId).padEnd(EVENT_BYTES, 'abcdefghij')}\n\n`)
    if (eventId < lastEventId) return
    clearInterval(timer)
    response.end()
  }, gapMs)
  response.on('close', () => clearInterval(timer))
}

for (let number = 1; number <= Number(enginesText); number++) {
  const gapMs = slowEngineInterval > 0 && number % slowEngineInterval === 0 ? EVENT_GAP_MS * SLOW_FACTOR : EVENT_GAP_MS
  createServer((request, response) => handleRequest(request, response, gapMs)).listen(FIRST_PORT + number, ip)
}
process.stdout.write('listening\n')
process.on('disconnect', () => process.exit(0))
