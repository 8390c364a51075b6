/**
 * A stand-in of a trainer and of the operator, which follow our pages.
 */
import { call, callControl, sleep } from './site.mjs'

export const HOST = 'ficu95.example'
const READ_INTERVAL_MS = 500

/** A desired state like that of our small sites: a plain service, a model service, and one route of each kind. */
export function desiredState ({ version = 1, maxAttempts = 3, timeoutMs = 10_000, plainTimeoutMs = 1_500, maxQueueS = 12, extraRoutes = [], models = ['m0'], slots = 12, maxBodyBytes = 33_554_432 } = {}) {
  return {
    version,
    routes: [
      { name: 'r-lookup', host: HOST, 'path-prefix': '/lookup/', 'route-type': 'idempotent', 'timeout-ms': plainTimeoutMs, 'slo-ms': 192, priority: 2, service: 'plain', 'max-attempts': 4 },
      { name: 'r-rollout', host: HOST, 'path-prefix': '/rollout/', 'route-type': 'rollout', 'timeout-ms': timeoutMs, 'slo-ms': 400, 'due-ms': 7500, 'max-queue-s': maxQueueS, priority: 0, service: 'lm', 'max-attempts': maxAttempts },
      ...extraRoutes
    ],
    services: [
      { name: 'plain', 'health-path': '/healthz', 'max-conns': 110, protocol: 'h1', tls: false },
      { name: 'lm', 'health-path': '/healthz', 'max-conns': 170, protocol: 'h1', tls: false, engine: { slots, 'kv-capacity': 36982, 'kv-bytes': 327680, 'link-mbps': 1400000, moves: true, backups: true, stride: 54, most: 12, 'pin-ms': 4000, 'hold-ms': 2000, handle_s: 5, models: models.map(name => ({ name })) } }
    ],
    limits: { 'max-header-bytes': 16384, 'max-body-bytes': maxBodyBytes, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
  }
}

export async function replaceConfig (site, body, deadlineMs) {
  const outcome = await callControl(site, { path: '/v1/config/replace', body, headers: { 'content-type': 'application/json' }, deadlineMs })
  site.note(`operator: desired state ${body.version}: ${outcome?.status ?? 'no confirmation'}`)
  return outcome?.status
}

export function itemOf ({ id, group, model = 'm0', body = `prompt of ${id}`, tokensOut = 400, reward = true }) {
  return {
    id,
    path: `/rollout/run/${id}`,
    headers: { 'X-Threaddrum-Model': model, 'X-Threaddrum-Token-Count': `16,${tokensOut}`, 'X-Threaddrum-Prompt-Prefix': '9c2e41:16' },
    body: Buffer.from(body).toString('base64'),
    tokens: 16 + tokensOut,
    group,
    ...(reward ? { scorer: { id: `s-${id}`, host: HOST, path: `/lookup/score/${id}`, body: Buffer.from(`score ${id}`).toString('base64') } } : {})
  }
}

/** Sends a batch until it is taken, each time to another edge node. */
export async function submit (site, id, { items, step = 0, model = 'm0', minVersion = 0, desired = 1 }, { deadlineMs = 8_000, path = `/rollout/${id}` } = {}) {
  const body = { step, model, 'min-version': minVersion, desired, items }
  const untilMs = performance.now() + deadlineMs
  for (let round = 0; performance.now() < untilMs; round++) {
    const node = site.edges[round % site.edges.length]
    const startedAtMs = site.nowMs()
    const outcome = await call({ address: site.front(node), method: 'POST', path, headers: { host: HOST, 'x-threaddrum-attempt-id': id, 'content-type': 'application/json' }, body, timeoutMs: 2_500 })
    site.note(`trainer: submits ${id} with ${items.length} items to ${node.name}: ${outcome.kind} ${outcome.status ?? outcome.reason ?? ''} after ${site.nowMs() - startedAtMs} ms`)
    if (outcome.kind === 'answered' && (outcome.status === 202 || outcome.status === 400 || outcome.status === 413)) return outcome.status
    await sleep(300)
  }
  return undefined
}

/** Reads a page of results at an edge node. */
export async function readResults (site, id, after, node = site.edges[0]) {
  const outcome = await call({ address: site.front(node), path: `/v1/lots/${id}?after-rev=${after}`, headers: { host: HOST }, timeoutMs: 2_500 })
  return outcome.kind === 'answered' && outcome.status === 200 ? JSON.parse(outcome.body.toString()) : { status: outcome.status ?? outcome.kind }
}

/** Reads results until `isDone(results)` or the time is over; the trainer then ends the batch. */
export async function collect (site, id, { isDone, budgetMs = 12_000, startedAtMs = performance.now() }) {
  const results = []
  for (let round = 0; performance.now() - startedAtMs < budgetMs; round++) {
    const page = await readResults(site, id, results.length, site.edges[round % site.edges.length])
    for (const result of page.results ?? []) {
      results.push(result)
      site.note(`trainer: ${id} position ${results.length - 1}: ${result.id} ${result.state}`)
    }
    if (isDone(results)) break
    await sleep(READ_INTERVAL_MS)
  }
  return results
}

export async function endBatch (site, id) {
  for (let round = 0; round < 6; round++) {
    const node = site.edges[round % site.edges.length]
    const outcome = await call({ address: site.front(node), method: 'DELETE', path: `/v1/lots/${id}`, headers: { host: HOST }, timeoutMs: 2_500 })
    site.note(`trainer: ends ${id} at ${node.name}: ${outcome.status ?? outcome.kind}`)
    if (outcome.status === 200) return true
    await sleep(200)
  }
  return false
}

/** Groups of which every item is listed. */
export function wholeGroups (items, results) {
  const listed = new Set(results.map(({ id }) => id))
  const groups = new Map()
  for (const { id, group } of items) groups.set(group, (groups.get(group) ?? true) && listed.has(id))
  return [...groups].filter(([, isWhole]) => isWhole).map(([group]) => group)
}
