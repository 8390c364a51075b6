/**
 * Eight trainers submit steps of 2,000 items instead of 224, each one step at a time. The
 * store may refuse what it has no room for, but its programs may not end by themselves,
 * and what it accepted has to stay readable.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Engine } from '../lib/engine.mjs'
import { runCase } from '../lib/record.mjs'
import { BatchCaller, configOf, id, itemHandler, MODEL, submissionOf } from '../lib/samples.mjs'
import { sleep, System } from '../lib/system.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'ficu95.example'
const TRAINERS = 8
const GROUP_SIZE = 4
/** The rule: this many ends on a tenth of the machines in use, on two at least. */
const MOST_OWN_ENDS = 2
const FEWEST_MACHINES = 2
const USUAL_ITEMS = 224
const ITEMS = HAS_TROUBLE ? 2_000 : USUAL_ITEMS
const PLAY_MS = 45_000
const ENGINES = 6
const SLOTS = 12
const EVENTS = 23
const GAP_MS = 30
const BUDGET_MS = 12_000
/** `finish-s`. */
const FINISH_MS = 10_000
/** Some are read from the start then; each gets several clients' tries, for longer than `contact-ms`. */
const FINAL_READS_MS = 8_000

class Trainer {
  constructor (number, system, record) {
    this.number = number
    this.record = record
    this.caller = new BatchCaller(system, HOST)
    this.accepted = []
  }

  /** One step after the other, as the trainers of the sheets. */
  async run (untilMs) {
    for (let step = 0; Date.now() < untilMs; step++) {
      this.batchId = id()
      this.results = 0
      await this.runStep(step)
      await sleep(500)
    }
  }

  async runStep (step) {
    const submission = submissionOf({ host: HOST, step, itemsCount: ITEMS, groupSize: GROUP_SIZE })
    const text = JSON.stringify(submission)
    const untilMs = Date.now() + BUDGET_MS
    for (;;) {
      const { status, error } = await this.caller.submit(this.batchId, text)
      this.record.line(`trainer ${this.number} sends batch ${this.batchId} of ${ITEMS} items, ${text.length} bytes, and gets ${status === 0 ? error : status}`)
      if (status === 202) this.accepted.push(this.batchId)
      if (status === 202) break
      if (Date.now() > untilMs) return
      await sleep(300)
    }
    const whole = new Map()
    const groupOf = new Map(submission.items.map(({ id: itemId, group }) => [itemId, group]))
    let failures = 0
    while (Date.now() < untilMs) {
      const { status, page } = await this.caller.read(this.batchId, this.results)
      if (status !== 200) failures++
      for (const result of page?.results ?? []) whole.set(groupOf.get(result.id), (whole.get(groupOf.get(result.id)) ?? 0) + 1)
      this.results += page?.results.length ?? 0
      if ([...whole.values()].filter(count => count === GROUP_SIZE).length >= submission.desired) break
      await sleep(500)
    }
    const { status } = await this.caller.end(this.batchId)
    this.record.line(`trainer ${this.number} has read ${this.results} results, ${failures} reads failed; ends batch ${this.batchId} and gets ${status}`)
  }

  /** Reads the batch from its start once more; true once a machine answers with it. */
  async isReadable (batchId) {
    const answers = []
    const untilMs = Date.now() + FINAL_READS_MS
    while (Date.now() < untilMs) {
      const { status, page } = await this.caller.read(batchId, 0)
      answers.push(status)
      if (status === 200) {
        this.record.line(`batch ${batchId} is read at the end: ${page.total} items, ${page.results.length} results on the first page`)
        return true
      }
      await sleep(400)
    }
    this.record.line(`batch ${batchId} is not read at the end: ${answers.join(', ')}`)
    return false
  }
}

await runCase(FOLDER, async (record, closers) => {
  const system = await System.create({ core: 3, storage: 3, engines: ENGINES + 2 })
  closers.push(() => system.close())
  system.restartAfterOwnEnds((machine, role) => record.line(`${machine.name}-${role} had ended by itself and is started again`))
  system.startAll()
  for (const [number, ip] of system.engineIps.entries()) {
    const isPlain = number >= ENGINES
    const engine = new Engine({
      id: `i-${number}`,
      service: isPlain ? 'wuno96b' : 'huvo11a',
      ip,
      port: system.enginePort,
      zone: ['kurasini', 'ubungo', 'mikocheni'][number % 3],
      slots: SLOTS,
      models: isPlain ? [] : [{ name: MODEL, version: 1, adapters: [] }],
      controlAddresses: system.controlAddresses,
      handle: itemHandler({ slots: SLOTS, queue: 36, events: EVENTS, gapMs: GAP_MS })
    })
    await engine.start()
    closers.push(() => engine.stop())
  }
  await system.putConfig(configOf({ host: HOST, samplesService: 'huvo11a', plainService: 'wuno96b' }))
  await system.untilReady()
  await sleep(5_000)
  const trainers = Array.from({ length: TRAINERS }, (_none, number) => new Trainer(number, system, record))
  const untilMs = Date.now() + PLAY_MS
  await Promise.all(trainers.map(trainer => trainer.run(untilMs)))
  const acceptedCount = trainers.reduce((sum, { accepted }) => sum + accepted.length, 0)
  record.line(`${acceptedCount} batches were accepted`)
  await sleep(FINISH_MS)
  const lost = []
  await Promise.all(trainers.flatMap(trainer => trainer.accepted.map(async batchId => {
    if (!await trainer.isReadable(batchId)) lost.push(`LOST: batch ${batchId} was accepted and can't be read at the end`)
  })))
  for (const { name, code, signal, atMs } of system.ownEnds) record.line(`${name} ended by itself at ${((atMs - record.startedAtMs) / 1_000).toFixed(1)} s: ${signal ?? code}`)
  const endsOf = new Map()
  for (const { name } of system.ownEnds) endsOf.set(name, (endsOf.get(name) ?? 0) + 1)
  const ending = [...endsOf].filter(([, count]) => count > MOST_OWN_ENDS)
  const isFault = ending.length >= FEWEST_MACHINES && ending.length >= system.machines.length / 10
  return [...lost, ...(isFault ? [`Fault: programs ended by themselves: ${ending.map(([name, count]) => `${name} ${count} times`).join(', ')}`] : [])]
})
