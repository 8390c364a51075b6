/**
 * A machine that was asked to stop takes a request, passes it on to an engine, and closes the
 * channel without an answer while the engine is at work, well inside `grace-s`.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Engine } from '../parts/engines.mjs'
import { call, runCase, sleep, whenReady } from '../parts/site.mjs'
import { desiredState, HOST, replaceConfig } from '../parts/trainer.mjs'

/** Our clients hold an answer of the directory for 2 s, some for 6 s: until then they send to the machine. */
const SEND_AFTER_TERM_MS = 5_200
const WORK_MS = 2_000
const BUDGET_MS = 5_000
const REQUESTS_COUNT = 4

runCase(dirname(fileURLToPath(import.meta.url)), { zones: 3 }, async (site, isTrouble) => {
  site.startAll()
  const engines = await Promise.all([0, 1, 2].map(position => new Engine(site, {
    service: 'plain',
    position,
    slots: 6,
    workMs: WORK_MS,
    onRequest: received => {
      site.note(`engine ${position} begins ${received.attemptId}`)
      return received.engine.run(received)
    }
  }).start()))
  const route = { name: 'r-return', host: HOST, 'path-prefix': '/return/', 'route-type': 'non_idempotent', 'timeout-ms': 6_000, 'slo-ms': 3_000, priority: 2, service: 'plain', 'max-attempts': 2 }
  if (await replaceConfig(site, desiredState({ extraRoutes: [route] })) !== 200) throw new Error('no desired state')
  await whenReady(site)
  await sleep(3_000)

  const [node] = site.edges
  const resolve = async () => {
    const outcome = await call({ address: `${node.ip}:8164`, path: `/v1/resolve?name=${HOST}&region=dar&zone=${node.zone}` })
    return JSON.parse(outcome.body.toString())
  }
  const answer = await resolve()
  site.note(`client: the directory names ${answer.addresses.join(', ')} for ${answer['ttl-s']} s`)
  if (!answer.addresses.includes(site.front(node))) throw new Error('the directory does not name the machine')
  const termAtMs = site.nowMs()
  if (isTrouble) site.signal(node, 'SIGTERM', ['edge', 'control'])
  await sleep(SEND_AFTER_TERM_MS)
  const outcomes = await Promise.all(Array.from({ length: REQUESTS_COUNT }, async (_, position) => {
    const attemptId = `return-${position}`
    const sentAtMs = site.nowMs() - termAtMs
    const outcome = await call({ address: site.front(node), method: 'POST', path: '/return/drum', headers: { host: HOST, 'x-threaddrum-attempt-id': attemptId, 'x-threaddrum-deadline-ms': BUDGET_MS }, body: `return ${position}`, timeoutMs: BUDGET_MS })
    const run = engines.flatMap(({ runs }) => runs).find(each => each.attemptId === attemptId)
    site.note(`client: ${attemptId}, sent ${sentAtMs} ms after the SIGTERM: ${outcome.kind} ${outcome.status ?? outcome.reason ?? ''} ${site.nowMs() - termAtMs} ms after it; ${run ? 'an engine ran it' : 'no engine ran it'}`)
    return { outcome, run }
  }))
  const lost = outcomes.filter(({ outcome, run }) => outcome.kind !== 'answered' && run)
  return { isBroken: lost.length > 0, text: `${lost.length} of ${REQUESTS_COUNT} requests ran at an engine, and their channels ended without an answer` }
})
