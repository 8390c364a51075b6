/**
 * A refusal of an engine comes a second time, late, in the place where the answer to
 * the next request on that channel is due. That next request may run once only.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { answer, Engine, ranHeaders } from '../lib/engine.mjs'
import { runCase } from '../lib/record.mjs'
import { call, sleep, System } from '../lib/system.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'ficu95.example'
const SERVICE = 'wuno96b'
const PLAY_MS = 30_000
const CALLERS = 12
const SLOTS = 2
const WORK_MS = 30
/** `garble` with `extra`: half of the engines, two in a hundred of their answers. */
const GARBLED_SHARE = 0.02
/** A surplus answer comes this long after the request in whose place it comes. */
const SURPLUS_DELAY_MS = 5

const CONFIG = {
  version: 1,
  routes: [{ name: 'r-once', host: HOST, 'path-prefix': '/pufi791/', 'route-type': 'non_idempotent', 'timeout-ms': 1_500, 'slo-ms': 192, priority: 2, service: SERVICE, 'max-attempts': 4 }],
  services: [{ name: SERVICE, 'health-path': '/healthz', 'max-conns': 110, protocol: 'h1', tls: false }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 33_554_432, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
}

/** An engine with few slots that refuses what it has no slot for; a faulty one sends some of its refusals twice. */
function handlerOf (isFaulty, record, runs) {
  let running = 0
  const counts = { answers: 0, surplus: 0 }
  const sendAnswer = (channel, bytes) => {
    counts.answers++
    channel.write(bytes)
  }
  return (request, channel, engine) => {
    if (channel.surplus !== undefined) {
      const { bytes, id } = channel.surplus
      channel.surplus = undefined
      setTimeout(() => {
        record.line(`${engine.id} sends its refusal of ${id} once more, while ${request.id} is the request on this channel`)
        channel.write(bytes)
      }, SURPLUS_DELAY_MS)
    }
    const load = () => ['X-Threaddrum-Instance-Load', `${running},0,${SLOTS}`]
    if (running >= SLOTS) {
      const refusal = answer(503, [['X-Threaddrum-Attempt-Id', request.id], ['X-Threaddrum-Not-Executed', '1'], load()], '')
      record.line(`${engine.id} refuses ${request.id}: no slot is free`)
      sendAnswer(channel, refusal)
      if (isFaulty && counts.surplus + 1 <= GARBLED_SHARE * counts.answers) {
        counts.surplus++
        channel.surplus = { bytes: refusal, id: request.id }
      }
      return
    }
    running++
    runs.push({ id: request.id, engine: engine.id, atMs: Date.now() })
    record.line(`${engine.id} runs ${request.id}`)
    setTimeout(() => {
      running--
      record.line(`${engine.id} has run ${request.id}${channel.isClosed ? '; its channel was closed meanwhile' : ''}`)
      sendAnswer(channel, answer(200, [...ranHeaders(request, `stamp.${request.id}`), load()], `booked ${request.id}`))
    }, WORK_MS)
  }
}

/** A client with one request after the other, each on a kept channel or a new one; a refusal is not repeated. */
async function runCaller (number, system, record, answers, untilMs) {
  for (let turn = 0; Date.now() < untilMs; turn++) {
    const id = `c${number}-${turn}`
    const edge = system.edges[turn % system.edges.length]
    record.line(`client sends ${id} to ${edge.name}`)
    const { status, error } = await call(system.frontOf(edge), 'POST', '/pufi791/5e07', { host: HOST, 'x-threaddrum-attempt-id': id, 'x-threaddrum-deadline-ms': '1500' }, `book ${id}`, 3_000)
    record.line(`client gets ${status === 0 ? error : status} for ${id}`)
    answers.set(id, status)
    await sleep(10)
  }
}

await runCase(FOLDER, async (record, closers) => {
  const system = await System.create({ core: 3, storage: 0, engines: 2 })
  closers.push(() => system.close())
  system.startAll()
  const runs = []
  const engines = system.engineIps.map((ip, number) => new Engine({
    id: `i-${number}`, service: SERVICE, ip, port: system.enginePort, zone: 'kurasini', slots: SLOTS, controlAddresses: system.controlAddresses, handle: handlerOf(HAS_TROUBLE && number === 0, record, runs)
  }))
  for (const engine of engines) {
    await engine.start()
    closers.push(() => engine.stop())
  }
  await system.putConfig(CONFIG)
  await system.untilReady()
  await sleep(3_000)
  const answers = new Map()
  const untilMs = Date.now() + PLAY_MS
  await Promise.all(Array.from({ length: CALLERS }, (_none, number) => runCaller(number, system, record, answers, untilMs)))
  await sleep(500)
  const enginesById = new Map()
  for (const { id, engine } of runs) enginesById.set(id, [...enginesById.get(id) ?? [], engine])
  const twice = [...enginesById].filter(([, ran]) => ran.length > 1).map(([id, ran]) => `TWICE: ${id} ran at ${ran.join(' and ')}`)
  const refused = [...answers].filter(([id, status]) => [408, 421, 429, 503].includes(status) && enginesById.has(id)).map(([id, status]) => `REFUSED: ${id} got ${status} and ran at ${enginesById.get(id).join(' and ')}`)
  const served = [...answers.values()].filter(status => status === 200).length
  record.line(`${answers.size} requests, ${served} served, ${runs.length} runs; programs that ended by themselves: ${system.ownEnds.length}`)
  if (served < 100) throw new Error(`only ${served} requests were served`)
  return [...twice, ...refused]
})
