/**
 * An item meets three crashes of engines and is never sent to an engine again, while
 * sound engines stand idle: its step runs out of time, and so does the next one.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Engine } from '../parts/engines.mjs'
import { runCase, sleep, whenReady } from '../parts/site.mjs'
import { collect, desiredState, endBatch, itemOf, replaceConfig, submit, wholeGroups } from '../parts/trainer.mjs'

const CRASHES_COUNT = 3
/** A crash comes this many events after the long item has begun at an engine: 1.2 s. */
const CRASH_AFTER_EVENTS_COUNT = 30
const ENGINE_DOWN_MS = 1_000
const BUDGET_MS = 12_000
/** Events of the long item and of the others; an event takes 40 ms. */
const LONG_EVENTS_COUNT = 120
const SHORT_EVENTS_COUNT = 15
/** RULES.md, LOST: "at no engine for 5 s of steady state". */
const STARVED_MS = 5_000

runCase(dirname(fileURLToPath(import.meta.url)), { zones: 3 }, async (site, isTrouble) => {
  site.startAll()
  await new Engine(site, { service: 'plain', position: 0, slots: 6 }).start()
  const isLong = attemptId => attemptId.startsWith('long')
  const engines = new Map()
  const allRuns = []
  const startEngine = async position => {
    const engine = await new Engine(site, {
      service: 'lm',
      position,
      models: ['m0'],
      onRequest: received => {
        site.note(`engine ${position} (${engine.id}) begins ${received.attemptId} behind event ${received.request.headers['last-event-id'] ?? 0}`)
        return engine.stream(received, { eventsCount: isLong(received.attemptId) ? LONG_EVENTS_COUNT : SHORT_EVENTS_COUNT })
      }
    }).start()
    allRuns.push(engine.runs)
    engines.set(position, engine)
  }
  for (const position of [1, 2, 3, 4, 5, 6]) await startEngine(position)
  if (await replaceConfig(site, desiredState()) !== 200) throw new Error('no desired state')
  await whenReady(site)
  await sleep(3_000)

  const items = ['a', 'b', 'c', 'd'].flatMap(group => [itemOf({ id: `${group === 'a' ? 'long' : 'short'}-${group}1`, group, tokensOut: group === 'a' ? 6_480 : 810 }), itemOf({ id: `short-${group}2`, group, tokensOut: 810 })])
  const runsOfLong = () => allRuns.flat().filter(({ attemptId }) => isLong(attemptId))
  const running = () => runsOfLong().find(run => !run.isOver && [...engines.values()].some(({ runs }) => runs.includes(run)))

  let lastCrashAtMs = 0
  const crash = async () => {
    for (let count = 1; count <= CRASHES_COUNT; count++) {
      let run
      for (let waited = 0; waited < 6_000 && !run; waited += 20) {
        await sleep(20)
        const found = running()
        run = found && found.sent >= found.after + CRASH_AFTER_EVENTS_COUNT ? found : undefined
      }
      if (!run) { site.note(`crash ${count}: the long item runs nowhere`); return }
      const [position, engine] = [...engines].find(([, { runs }]) => runs.includes(run))
      site.note(`crash ${count}: engine ${position} (${engine.id}), which had sent events ${run.after + 1} to ${run.sent} of ${run.attemptId}`)
      lastCrashAtMs = site.nowMs()
      engines.delete(position)
      await engine.end()
      setTimeout(() => startEngine(position).then(() => site.note(`engine ${position} is back as ${engines.get(position).id}`)), ENGINE_DOWN_MS)
    }
  }

  let isBroken = false
  const texts = []
  let remaining = items
  for (const step of [0, 1]) {
    const id = `lot-${step}`
    const startedAtMs = performance.now()
    if (await submit(site, id, { items: remaining, step, desired: new Set(remaining.map(({ group }) => group)).size }) !== 202) throw new Error(`${id} was not taken`)
    if (step === 0 && isTrouble) crash()
    const wanted = new Set(remaining.map(({ group }) => group)).size
    const results = await collect(site, id, { budgetMs: BUDGET_MS, startedAtMs, isDone: listed => wholeGroups(remaining, listed).length >= wanted })
    const whole = wholeGroups(remaining, results)
    const endedAtMs = site.nowMs()
    const lastRun = runsOfLong().at(-1)
    const lastAtMs = Math.max(lastRun?.endedAtMs ?? 0, lastCrashAtMs + ENGINE_DOWN_MS, step === 0 ? 0 : Math.round(startedAtMs - site.startedAtMs))
    const wasFinished = runsOfLong().some(({ sent }) => sent >= LONG_EVENTS_COUNT)
    const isOut = whole.length < wanted && !wasFinished && !running() && endedAtMs - lastAtMs >= STARVED_MS
    texts.push(`step ${step}: ${whole.length} of ${wanted} groups whole, long item at no engine for the last ${endedAtMs - lastAtMs} ms, finished by an engine: ${wasFinished}`)
    site.note(texts.at(-1))
    isBroken ||= isOut
    await endBatch(site, id)
    remaining = items.filter(({ group }) => !whole.includes(group) && remaining.some(item => item.group === group))
    if (remaining.length === 0) break
  }
  return { isBroken, text: texts.join('; ') }
})
