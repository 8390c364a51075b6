import test from 'ava'
import { decodeHeartbeat } from '../../platform/announcementCodec.js'
import { decodeItem, decodeSubmission, encodeResults } from '../../platform/batchCodec.js'
import { loadOf } from '../../platform/endpointClient.js'
import { decodeRouting } from '../../platform/routingCodec.js'
import { WireHeader } from '../../platform/wireNames.js'
import { digestOfKey } from '../../src/accounts/keyDigest.js'
import { toPart } from '../../src/batches/outputParts.js'
import { ResultState } from '../../src/protocol/batches.js'
import { EndpointLifecycle } from '../../src/protocol/fleet.js'
import { RouteKind } from '../../src/protocol/routing.js'

const routingDocument = {
  version: 7,
  routes: [
    { name: 'r-1', host: 'decks.example', 'path-prefix': '/score/', 'route-type': 'idempotent', 'timeout-ms': 1_500, 'slo-ms': 192, priority: 2, service: 'plain', 'max-attempts': 4 },
    { name: 'r-2', host: 'decks.example', 'path-prefix': '/open/', 'route-type': 'non_idempotent', 'timeout-ms': 2_000, backends: [{ service: 'engines', weight: 90 }, { service: 'plain', weight: 10 }] },
    { name: 'r-3', host: 'decks.example', 'path-prefix': '/hints/', 'route-type': 'rollout', 'timeout-ms': 10_000, 'due-ms': 7_500, 'max-queue-s': 40, service: 'engines', 'max-attempts': 3 }
  ],
  services: [
    { name: 'engines', 'health-path': '/healthz', 'max-conns': 170, protocol: 'h1', tls: false, engine: { slots: 12, 'kv-capacity': 36_982, stride: 54, models: [{ name: 'm1' }, { name: 'm2' }] } },
    { name: 'plain', 'health-path': '/healthz', 'max-conns': 110, protocol: 'h1', tls: false }
  ],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 33_554_432, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
}

test('should decode a routing configuration into the product\'s terms', t => {
  const decoded = decodeRouting(routingDocument)
  if (decoded.kind !== 'valid') return t.fail(decoded.problem)
  const { version, routes, services, bounds } = decoded.routing
  t.is(version, 7)
  t.like(routes[0], { kind: RouteKind.Idempotent, objectiveMs: 192, maxAttemptsCount: 4, services: [{ service: 'plain', weight: 1 }] })
  t.like(routes[1], { kind: RouteKind.AtMostOnce, maxAttemptsCount: 1, services: [{ service: 'engines', weight: 90 }, { service: 'plain', weight: 10 }] })
  t.deepEqual(routes[2]?.batch, { dueMs: 7_500, maxQueueMs: 40_000, isSingleVersion: false })
  t.deepEqual(services[0]?.engine, { slotsCount: 12, kvCapacityTokens: 36_982, tokensPerEvent: 54, models: ['m1', 'm2'] })
  t.is(bounds.idleTimeoutMs, 15_000)
})

const invalidChanges: Array<[string, (document: typeof routingDocument) => unknown, RegExp]> = [
  ['is not an object', () => 'x', /body/],
  ['lacks its services', ({ services, ...rest }) => rest, /services/],
  ['names an unknown service', document => ({ ...document, services: document.services.slice(1) }), /routes\.1: unknown service engines/],
  ['has two routes with the same host and prefix', document => ({ ...document, routes: [...document.routes, { ...document.routes[0], name: 'r-4' }] }), /routes\.3: another route/],
  ['has weights that add up to 0', document => ({ ...document, routes: [{ ...document.routes[1], backends: [{ service: 'plain', weight: 0 }] }] }), /routes\.0: no service with a weight above 0/],
  ['has a route with a timeout of 0', document => ({ ...document, routes: [{ ...document.routes[0], 'timeout-ms': 0 }] }), /timeout-ms/],
  ['has a route without a service', document => ({ ...document, routes: [{ ...document.routes[0], service: undefined }] }), /routes\.0: no service with a weight above 0/]
]

for (const [what, change, problem] of invalidChanges) {
  test(`should refuse a routing configuration that ${what}, and say where`, t => {
    const decoded = decodeRouting(change(routingDocument))
    t.is(decoded.kind, 'invalid')
    t.regex(decoded.kind === 'invalid' ? decoded.problem : '', problem)
  })
}

const account = { name: 'learners', 'api-keys': ['k1', 'k2'], priority: 1 }

test('should decode client accounts by the digests of their keys', t => {
  const decoded = decodeRouting({ ...routingDocument, routes: [{ ...routingDocument.routes[0], public: true }], tenants: [account, { name: 'keyless', 'api-keys': [] }] })
  if (decoded.kind !== 'valid') return t.fail(decoded.problem)
  t.deepEqual(decoded.routing.accounts, [{ name: 'learners', priority: 1, keyDigests: [digestOfKey('k1'), digestOfKey('k2')] }, { name: 'keyless', priority: undefined, keyDigests: [] }])
  t.true(decoded.routing.routes[0]?.isPublic)
  const without = decodeRouting(routingDocument)
  t.is(without.kind === 'valid' && without.routing.accounts, undefined)
})

const invalidAccounts: Array<[string, unknown[], RegExp]> = [
  ['share a key', [account, { name: 'trainers', 'api-keys': ['k9', 'k2'] }], /^tenants\.1\.api-keys\.1: also a key of learners$/],
  ['hold a key twice', [{ name: 'learners', 'api-keys': ['k1', 'k1'] }], /^tenants\.0\.api-keys\.1: duplicate key$/],
  ['share a name', [account, { name: 'learners', 'api-keys': [] }], /^tenants\.1\.name: another tenant has the name learners$/],
  ['have no name', [{ name: '', 'api-keys': [] }], /^tenants\.0\.name/],
  ['have an empty key', [{ name: 'learners', 'api-keys': ['k1', ''] }], /^tenants\.0\.api-keys\.1/],
  ['have a key that is a number', [{ name: 'learners', 'api-keys': [5] }], /^tenants\.0\.api-keys\.0/]
]

for (const [what, tenants, problem] of invalidAccounts) {
  test(`should refuse client accounts that ${what}, name the field, and show no key`, t => {
    const decoded = decodeRouting({ ...routingDocument, tenants })
    if (decoded.kind !== 'invalid') return t.fail('valid')
    t.regex(decoded.problem, problem)
    t.notRegex(decoded.problem, /k1|k2|k9/)
  })
}

test('should decode how endpoints of a service may be ordered', t => {
  const scaling = { min: 1, max: 15, 'boot-s': 4, 'spot-price': 0.15, 'zone-prices': { north: 1.25 } }
  const decoded = decodeRouting({ ...routingDocument, services: [{ ...routingDocument.services[0], scaling }, routingDocument.services[1]] })
  t.deepEqual(decoded.kind === 'valid' && decoded.routing.services[0]?.scaling, { minCount: 1, maxCount: 15, bootMs: 4_000, reclaimablePrice: 0.15, prices: { north: 1.25 } })
})

test('should remove the keys of callers from the headers of items, and nothing else', t => {
  const [item] = submission.items
  const headers = { ...item?.headers, Authorization: 'Token k1', 'X-Custom': 'kept' }
  const body = { ...submission, items: [{ ...item, headers }] }
  const decoded = decodeSubmission('b1', 'h', '/p/', body, { account: 'learners', priority: 1, hasKeys: true })
  if (decoded.kind !== 'valid') return t.fail()
  t.like(decoded.submission, { account: 'learners', priority: 1 })
  t.deepEqual(decoded.submission.items[0]?.headers, Object.entries({ ...item?.headers, 'X-Custom': 'kept' }).flat())
})

test('should decode that an endpoint may be reclaimed, and when', t => {
  t.like(decodeHeartbeat('i-1', { ...heartbeat, spot: true, leaves_ms: 2_400 }), { kind: 'valid', endpoint: { isReclaimable: true, leavesInMs: 2_400 } })
  t.like(decodeHeartbeat('i-1', heartbeat), { kind: 'valid', endpoint: { isReclaimable: false, leavesInMs: undefined } })
})

const heartbeat = { service: 'engines', address: '10.128.0.9:8080', zone: 'north', version: 'v1', slots: 12, state: 'draining', 'cold-left-ms': 0, stage: 'hybrid', models: [{ name: 'm1', version: 4, adapters: [] }], seq: 4 }

test('should decode what an endpoint announces', t => {
  const decoded = decodeHeartbeat('i-1', heartbeat)
  t.like(decoded, { kind: 'valid', endpoint: { endpointId: 'i-1', dataCentre: 'north', lifecycle: EndpointLifecycle.Leaving, sequence: 4, weights: [{ model: 'm1', version: 4 }] } })
})

test('should refuse a heartbeat without an address or of an unknown state', t => {
  t.is(decodeHeartbeat('i-1', { ...heartbeat, address: 'nowhere' }).kind, 'invalid')
  t.is(decodeHeartbeat('i-1', { ...heartbeat, state: 'asleep' }).kind, 'invalid')
})

const submission = {
  step: 7,
  model: 'm1',
  'min-version': 6,
  desired: 12,
  items: [{
    id: 'i1',
    path: '/hints/3/91c4',
    headers: { 'X-Threaddrum-Model': 'm1', 'X-Threaddrum-Token-Count': '540,400', 'X-Threaddrum-Length-Hint': '250' },
    body: 'q83vEjRWeJA=',
    tokens: 940,
    group: 'g1',
    scorer: { id: 's1', host: 'decks.example', path: '/score/5e07', body: '3q2+7w==' }
  }]
}

test('should decode a batch with its items, hints and reward calls', t => {
  const decoded = decodeSubmission('b1', 'decks.example', '/hints/b1', submission)
  if (decoded.kind !== 'valid') return t.fail(String(decoded.error))
  const [item] = decoded.submission.items
  t.like(decoded.submission, { batchId: 'b1', step: 7, minVersion: 6, wantedGroupsCount: 12 })
  t.like(item, { itemId: 'i1', groupId: 'g1', promptTokensCount: 540, expectedTokensCount: 250, model: 'm1' })
  t.is(Buffer.from(item?.body ?? []).toString('base64'), 'q83vEjRWeJA=')
  t.is(Buffer.from(item?.reward?.body ?? []).toString('base64'), '3q2+7w==')
  t.deepEqual(item?.headers, Object.entries(submission.items[0]?.headers ?? {}).flat())
})

test('should expect the maximum number of tokens for an item without a length hint', t => {
  const [item] = submission.items
  const decoded = decodeSubmission('b1', 'h', '/p/', { ...submission, items: [{ ...item, headers: { 'X-Threaddrum-Token-Count': '540,400' } }] })
  t.is(decoded.kind === 'valid' && decoded.submission.items[0]?.expectedTokensCount, 400)
})

test('should refuse a batch without items, or with a body that is not base64', t => {
  t.is(decodeSubmission('b1', 'h', '/p/', { ...submission, items: [] }).kind, 'invalid')
  t.is(decodeSubmission('b1', 'h', '/p/', { ...submission, items: [{ ...submission.items[0], body: '%%' }] }).kind, 'invalid')
})

/** Changes to an item with which no engine can be sent it, the field that says so, and the value. */
const UNSENDABLE: Array<[changes: object, field: string, value: string]> = [
  [{ headers: { 'X-Custom': 'a\nb' } }, 'headers.X-Custom', 'a\\nb'],
  [{ headers: { 'X-Custom': 'a\u0001b' } }, 'headers.X-Custom', 'a\\u0001b'],
  [{ headers: { 'X-Custom': 'коло' } }, 'headers.X-Custom', 'коло'],
  [{ headers: { 'X Custom': 'a' } }, 'headers.X Custom', 'X Custom'],
  [{ headers: { '': 'a' } }, 'headers.', '""'],
  [{ id: 'i\r1' }, 'id', 'i\\r1'],
  [{ path: '/hints/a b' }, 'path', '/hints/a b'],
  [{ path: '/hints\r\n' }, 'path', '/hints\\r\\n'],
  [{ scorer: { ...submission.items[0]?.scorer, id: 's\n1' } }, 'scorer.id', 's\\n1'],
  [{ scorer: { ...submission.items[0]?.scorer, host: 'h\n' } }, 'scorer.host', 'h\\n'],
  [{ scorer: { ...submission.items[0]?.scorer, path: '/a b' } }, 'scorer.path', '/a b']
]

// Such an item was taken with 202, and each of its runs failed before anything was sent, until its time was over.
for (const [changes, field, value] of UNSENDABLE) {
  test(`should refuse an item with ${JSON.stringify(changes)}, and say where and why`, t => {
    const decoded = decodeItem({ ...submission.items[0], ...changes }, { account: undefined, priority: undefined, hasKeys: false })
    const problem = decoded.kind === 'invalid' ? decoded.problem : ''
    t.true(problem.startsWith(`${field}: `), problem)
    t.true(problem.includes(value), problem)
  })
}

test('should take an item whose header has tabs, quotes and Latin letters', t => {
  const decoded = decodeItem({ ...submission.items[0], headers: { 'X-Custom': 'käse\t"' } }, { account: undefined, priority: undefined, hasKeys: false })
  t.deepEqual(decoded.kind === 'valid' && decoded.item.headers, ['X-Custom', 'käse\t"'])
})

// The second item of an id was lost, and the batch could never be whole.
test('should refuse a batch in which an id repeats, or that waits for a negative number of groups, and say where', t => {
  const [item] = submission.items
  const repeated = decodeSubmission('b1', 'h', '/p/', { ...submission, items: [item, item] })
  t.deepEqual(repeated.kind === 'invalid' && repeated.error.issues.map(({ path, message }) => [path, message]), [[['items'], `the id "${item?.id}" repeats`]])
  const negative = decodeSubmission('b1', 'h', '/p/', { ...submission, desired: -1 })
  t.deepEqual(negative.kind === 'invalid' && negative.error.issues.map(({ path }) => path), [['desired']])
})

test('should encode results with the texts of their parts joined', t => {
  const parts = [toPart(['one', 'two'], [1]), toPart(['three'], [2])]
  const page = encodeResults({
    totalCount: 3,
    nextPosition: 2,
    results: [
      { itemId: 'i1', state: ResultState.Completed, parts, versions: [1, 2], score: 's' },
      { itemId: 'i2', state: ResultState.Abandoned, parts: [], versions: [] }
    ]
  })
  t.deepEqual(page, {
    total: 3,
    'next-token': 2,
    results: [
      { id: 'i1', state: 'completed', text: 'one\ntwo\nthree', versions: [1, 2], score: 's' },
      { id: 'i2', state: 'terminated', text: '', versions: [], score: undefined }
    ]
  })
})

test('should read how busy an endpoint is, and how slow its machine is where it says so', t => {
  const load = { runningCount: 3, waitingCount: 1, slotsCount: 6 }
  t.deepEqual(loadOf([WireHeader.Load, '3,1,6']), load)
  t.deepEqual(loadOf([WireHeader.Load, '3,1,6,250']), { ...load, slowdownFactor: 2.5 })
  for (const unusable of ['0', '-5', 'fast', '']) t.deepEqual(loadOf([WireHeader.Load, `3,1,6,${unusable}`]), load, unusable)
  t.is(loadOf([WireHeader.Load, '3,1']), undefined)
  t.is(loadOf([]), undefined)
})
