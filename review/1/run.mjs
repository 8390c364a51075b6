/**
 * Some answers of engines have no length and end with their channel; some of these are
 * reset on the way. What was reset is not whole: no client may get it as a whole
 * answer, and no trainer as a completed sample.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { answer, Engine, ranHeaders } from '../lib/engine.mjs'
import { runCase } from '../lib/record.mjs'
import { BatchCaller, configOf, id, itemHandler, MODEL, submissionOf, textOfItem } from '../lib/samples.mjs'
import { call, sleep, System } from '../lib/system.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'ficu95.example'
const PLAY_MS = 45_000
/** `garble` with `unframed`: half of the engines, two in a hundred of their answers. Without the trouble these end as they should. */
const GARBLED_EVERY = 50
const SLOTS = 12
const EVENTS = 23
const GAP_MS = 20
const CALLERS = 8
const WORK_MS = 25
const ITEMS = 68
const GROUP_SIZE = 4
const STEP_MS = 4_000
const BUDGET_MS = 12_000

/** The whole body that an engine makes for a request. */
const bodyOf = requestId => `stock of ${requestId} `.repeat(40)

/** Counts the answers of an engine; true for one in fifty. */
function everyFiftieth () {
  let count = 0
  return () => ++count % GARBLED_EVERY === 0
}

function plainHandler (isFaulty, record) {
  const isGarbled = everyFiftieth()
  return (request, channel, engine) => setTimeout(() => {
    const body = bodyOf(request.id)
    if (!isFaulty || !isGarbled()) return channel.write(answer(200, ranHeaders(request, `stamp.${request.id}`), body))
    const head = ranHeaders(request, `stamp.${request.id}`).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    channel.write(Buffer.from(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n${body.slice(0, body.length / 2)}`))
    setTimeout(() => {
      record.line(`${engine.id} ${HAS_TROUBLE ? 'resets' : 'ends'} its answer without a length to ${request.id} after ${HAS_TROUBLE ? body.length / 2 : body.length} of ${body.length} bytes`)
      if (HAS_TROUBLE) return channel.socket.resetAndDestroy()
      channel.write(Buffer.from(body.slice(body.length / 2)))
      channel.socket.end()
    }, 5)
  }, WORK_MS)
}

function samplesHandler (isFaulty, record) {
  const isGarbled = everyFiftieth()
  return itemHandler({
    slots: SLOTS,
    queue: 36,
    events: EVENTS,
    gapMs: GAP_MS,
    isWithoutLength: () => isFaulty && isGarbled(),
    isBrokenOff: () => HAS_TROUBLE,
    onBrokenOff: run => record.line(`${run.engine.id} resets its answer without a length to item ${run.request.id} after event ${run.sent} of ${EVENTS}`)
  })
}

async function runCaller (number, system, record, broken, untilMs) {
  let count = 0
  for (let turn = 0; Date.now() < untilMs; turn++) {
    const requestId = `c${number}-${turn}`
    const { status, headers, body, error } = await call(system.frontOf(system.edges[turn % system.edges.length]), 'POST', '/pufi791/5e07', { host: HOST, 'x-threaddrum-attempt-id': requestId, 'x-threaddrum-deadline-ms': '1500' }, `stock ${requestId}`, 3_000)
    if (status === 200) count++
    if (status !== 200) record.line(`client gets ${status === 0 ? error : status} for ${requestId}`)
    if (status !== 200 || body.toString() === bodyOf(requestId)) continue
    record.line(`client gets 200 for ${requestId}, stamp ${headers['x-threaddrum-server-stamp']}, framed as complete, with ${body.length} of ${bodyOf(requestId).length} bytes`)
    broken.push(`MIXED: ${requestId} got a success with ${body.length} of ${bodyOf(requestId).length} bytes`)
  }
  return count
}

async function runTrainer (system, record, broken, untilMs) {
  let completed = 0
  const runStep = async step => {
    const caller = new BatchCaller(system, HOST)
    const batchId = id()
    const submission = submissionOf({ host: HOST, step, itemsCount: ITEMS, groupSize: GROUP_SIZE })
    const limitMs = Date.now() + BUDGET_MS
    while ((await caller.submit(batchId, JSON.stringify(submission))).status !== 202 && Date.now() < limitMs) await sleep(300)
    let position = 0
    while (Date.now() < limitMs && position < ITEMS) {
      const { page } = await caller.read(batchId, position)
      for (const result of page?.results ?? []) {
        position++
        if (result.state !== 'completed') continue
        completed++
        const whole = textOfItem(result.id, EVENTS)
        if (result.text === whole) continue
        const count = result.text === '' ? 0 : result.text.split('\n').length
        record.line(`trainer reads item ${result.id} as completed with ${count} of ${EVENTS} events`)
        broken.push(`MIXED: item ${result.id} is completed with ${count} of ${EVENTS} events`)
      }
      await sleep(500)
    }
    await caller.end(batchId)
    record.line(`trainer has read ${position} of ${ITEMS} results of step ${step}`)
  }
  const steps = []
  for (let step = 0; Date.now() < untilMs; step++) {
    steps.push(runStep(step))
    await sleep(STEP_MS)
  }
  await Promise.all(steps)
  return completed
}

await runCase(FOLDER, async (record, closers) => {
  const system = await System.create({ core: 3, storage: 3, engines: 6 })
  closers.push(() => system.close())
  system.startAll()
  for (const [number, ip] of system.engineIps.entries()) {
    const isPlain = number >= 4
    const isFaulty = number % 2 === 0
    const engine = new Engine({
      id: `i-${number}`,
      service: isPlain ? 'wuno96b' : 'huvo11a',
      ip,
      port: system.enginePort,
      zone: ['kurasini', 'ubungo', 'mikocheni'][number % 3],
      slots: SLOTS,
      models: isPlain ? [] : [{ name: MODEL, version: 1, adapters: [] }],
      controlAddresses: system.controlAddresses,
      handle: isPlain ? plainHandler(isFaulty, record) : samplesHandler(isFaulty, record)
    })
    await engine.start()
    closers.push(() => engine.stop())
  }
  await system.putConfig(configOf({ host: HOST, samplesService: 'huvo11a', plainService: 'wuno96b' }))
  await system.untilReady()
  await sleep(5_000)
  const broken = []
  const untilMs = Date.now() + PLAY_MS
  const [completed, ...served] = await Promise.all([runTrainer(system, record, broken, untilMs), ...Array.from({ length: CALLERS }, (_none, number) => runCaller(number, system, record, broken, untilMs))])
  const servedCount = served.reduce((sum, count) => sum + count, 0)
  record.line(`${servedCount} requests served, ${completed} items completed; programs that ended by themselves: ${system.ownEnds.length}`)
  if (servedCount < 1_000 || completed < 100) throw new Error('too little was served')
  return broken
})
