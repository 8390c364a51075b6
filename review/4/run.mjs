/**
 * The end of a batch goes unanswered while the stores are down, so that the batch stays open. The
 * trainer sends its unfinished group again in the next batch, under the same ids. Both batches run
 * the items, and the text of a result is joined from runs that do not continue each other.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Engine } from '../parts/engines.mjs'
import { call, callControl, runCase, sleep, whenReady } from '../parts/site.mjs'
import { collect, desiredState, HOST, itemOf, replaceConfig, submit, wholeGroups } from '../parts/trainer.mjs'

const DOWN_MS = 4_000
/** The sheet: the client's retries. */
const RETRIES_COUNT = 1
const BUDGET_MS = 12_000
const TRAIN_MS = 500
/** Engines differ in speed, as 1.0, 1.0 and 1.3 on the site. */
const EVENT_MS = [36, 36, 47]
const SHORT_EVENTS_COUNT = 12
const LONG_EVENTS_COUNT = 150
const LONG_GROUPS_COUNT = 2
const GROUP_SIZE = 4
const LONG_ITEMS_COUNT = LONG_GROUPS_COUNT * GROUP_SIZE
/** Of 20 groups, 90% are waited for. */
const SHORT_GROUPS_COUNT = 18

runCase(dirname(fileURLToPath(import.meta.url)), { zones: 3 }, async (site, isTrouble) => {
  site.startAll()
  await new Engine(site, { service: 'plain', position: 0, slots: 6 }).start()
  /** By the id of an item: every run of it, with the event behind which it was asked to go on. */
  const runs = []
  await Promise.all([1, 2, 3, 4, 5, 6].map(position => new Engine(site, {
    service: 'lm',
    position,
    models: ['m0'],
    onRequest: received => {
      const { engine, attemptId, request } = received
      const after = Number(request.headers['last-event-id'] ?? 0)
      const tag = `run${runs.length + 1}`
      runs.push({ tag, attemptId, after })
      if (attemptId.startsWith('long')) site.note(`engine ${position}: ${tag} of ${attemptId} begins behind event ${after}`)
      // The text of a sampling engine differs from run to run.
      return engine.stream(received, { eventsCount: attemptId.startsWith('long') ? LONG_EVENTS_COUNT : SHORT_EVENTS_COUNT, eventMs: EVENT_MS[position % EVENT_MS.length], textOf: id => `${attemptId} ${id} ${tag}` })
    }
  }).start()))
  if (await replaceConfig(site, desiredState()) !== 200) throw new Error('no desired state')
  await whenReady(site)
  await sleep(3_000)

  const shortGroups = step => Array.from({ length: SHORT_GROUPS_COUNT }, (_, position) => itemOf({ id: `short-${step}-${position}`, group: `s${step}-${position}`, tokensOut: 54 * SHORT_EVENTS_COUNT }))
  const longGroups = Array.from({ length: LONG_ITEMS_COUNT }, (_, position) => itemOf({ id: `long-${position}`, group: `long-${Math.floor(position / GROUP_SIZE)}`, tokensOut: 54 * LONG_EVENTS_COUNT }))
  const first = [...longGroups, ...shortGroups(0)]
  let startedAtMs = performance.now()
  if (await submit(site, 'lot-0', { items: first, step: 0, desired: SHORT_GROUPS_COUNT }) !== 202) throw new Error('lot-0 was not taken')
  await collect(site, 'lot-0', { budgetMs: BUDGET_MS, startedAtMs, isDone: listed => wholeGroups(first, listed).length >= SHORT_GROUPS_COUNT })

  if (isTrouble) {
    for (const node of site.stores) site.signal(node, 'SIGKILL')
    setTimeout(() => { for (const node of site.stores) { site.note(`${node.name}: starts again`); site.start(node) } }, DOWN_MS)
  }
  let isEnded = false
  for (let attempt = 0; attempt <= RETRIES_COUNT && !isEnded; attempt++) {
    const node = site.edges[attempt]
    const outcome = await call({ address: site.front(node), method: 'DELETE', path: '/v1/lots/lot-0', headers: { host: HOST }, timeoutMs: 2_500 })
    site.note(`trainer: ends lot-0 at ${node.name}: ${outcome.status ?? outcome.kind}`)
    isEnded = outcome.status === 200
    if (!isEnded) await sleep(1_000 * Number(outcome.headers?.['retry-after'] ?? 0.2))
  }
  await sleep(TRAIN_MS)
  const named = await callControl(site, { path: '/v1/version-put', body: { model: 'm0', version: 2 }, headers: { 'content-type': 'application/json' } })
  site.note(`trainer: names version 2: ${named?.status}`)

  const second = [...longGroups, ...shortGroups(1)]
  startedAtMs = performance.now()
  if (await submit(site, 'lot-1', { items: second, step: 1, minVersion: 1, desired: SHORT_GROUPS_COUNT }) !== 202) throw new Error('lot-1 was not taken')
  const results = await collect(site, 'lot-1', { budgetMs: BUDGET_MS, startedAtMs, isDone: listed => listed.filter(({ id }) => id.startsWith('long')).length === LONG_ITEMS_COUNT })

  // Other clients look at batches all day long; lot-0 is still open unless its end was confirmed.
  await sleep(1_500)
  const resultsOf = { 'lot-0': await collect(site, 'lot-0', { budgetMs: 2_000, isDone: listed => listed.length === first.length }), 'lot-1': results }
  const faultsIn = id => resultsOf[id].filter(({ state }) => state === 'completed').flatMap(result => faultsOf(result.id, result.text, runs).map(fault => `${id}: ${fault}`))
  const faults = Object.keys(resultsOf).flatMap(faultsIn)
  for (const fault of faults) site.note(fault)
  if (!results.some(({ id }) => id.startsWith('long'))) throw new Error('no long item was listed')
  const counts = Object.entries(resultsOf).map(([id, listed]) => `${faultsIn(id).length} in the ${listed.length} results of ${id}`)
  return { isBroken: faults.length > 0, text: `faults in texts: ${counts.join(', ')}; the end of lot-0 was ${isEnded ? '' : 'not '}confirmed` }
})

/** ORDER: after event n, a text may go on only with a run that was asked for with `Last-Event-Id` n. */
function faultsOf (itemId, text, runs) {
  const faults = []
  let lastTag
  for (const [position, line] of text.split('\n').entries()) {
    const [, id, tag] = line.split(' ')
    if (Number(id) !== position + 1) faults.push(`${itemId}: event ${id} stands at place ${position + 1}`)
    const run = runs.find(each => each.tag === tag)
    if (tag !== lastTag && run?.after !== position) faults.push(`${itemId}: behind event ${position} of ${lastTag ?? 'nothing'} the text goes on with ${tag}, which was asked for with Last-Event-Id ${run?.after}`)
    lastTag = tag
  }
  return faults
}
