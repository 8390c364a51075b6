/**
 * Fuzz of what a request's tries can come to, alone and beside each other, with a
 * deadline, a stop of the host and a caller that leaves: the answer "has not run" is
 * given only if no endpoint may have run the request.
 */
import test from 'ava'
import type { EndpointOutcome, EndpointRequest } from '../../src/endpoints/endpointClient.js'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import { RequestForwarder } from '../../src/gateway/requestForwarder.js'
import { StreamForwarder, type StreamForwardOutcome } from '../../src/gateway/streamForwarder.js'
import { Executed } from '../../src/protocol/refusals.js'
import { RouteKind } from '../../src/protocol/routing.js'
import { ScopeClosedError } from '../../src/utils/errors.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { seededRandom, type RandomSource } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { DATA_CENTRE, endpoint, HOST, route, viewOf } from '../fixtures/fleet/fleetFixtures.js'
import { quarantineOf } from '../fixtures/fleet/quarantineFixtures.js'
import { answered, ScriptedEndpoints } from '../fixtures/fleet/scriptedEndpoints.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const ROUNDS_COUNT = 3_000
/** Longer than any deadline. */
const NEVER_MS = 60_000
const MAX_WAIT_MS = 1_500
const REPEATED_SHARE = 0.5
const KINDS = [RouteKind.AtMostOnce, RouteKind.Idempotent, RouteKind.Stream]

interface Script {
  afterMs: number
  outcome: EndpointOutcome
  mayHaveRun: boolean
}

interface Round {
  outcome: StreamForwardOutcome | undefined
  mayHaveRunCount: number
  /** Sent when the host had no time left, while nothing may have run. */
  lateCount: number
  /** Tries whose outcome was not known when the request ended. */
  openCount: number
  kind: RouteKind
  isResumable: boolean
}

function notExecutedOf (random: RandomSource): Script {
  return { afterMs: random.int(0, 60), outcome: { kind: 'notExecuted', status: 503, load: undefined }, mayHaveRun: false }
}

function scriptOf (random: RandomSource): Script {
  const afterMs = random.int(0, 400)
  const notExecuted = notExecutedOf(random)
  const scripts: Script[] = [
    { afterMs, outcome: answered(), mayHaveRun: true },
    { afterMs, outcome: answered(500), mayHaveRun: true },
    { afterMs, outcome: { kind: 'broken', reason: 'reset' }, mayHaveRun: true },
    { afterMs: NEVER_MS, outcome: answered(), mayHaveRun: true },
    { afterMs, outcome: { kind: 'unreached', reason: 'timed out' }, mayHaveRun: false },
    { afterMs, outcome: { kind: 'unreached', reason: 'refused', isRefused: true }, mayHaveRun: false },
    { afterMs, outcome: { kind: 'misdirected' }, mayHaveRun: false }
  ]
  return random.real() < 0.4 ? notExecuted : scripts[random.int(0, scripts.length - 1)] ?? notExecuted
}

async function play (seed: number): Promise<Round> {
  const random = seededRandom(seed)
  const clock = new VirtualClock()
  const view = viewOf(Array.from({ length: random.int(1, 3) }, (_value, position) => endpoint(`e${position}`)))
  const client = new ScriptedEndpoints(clock)
  const pool = new EndpointPool({ view, clock, random, dataCentre: DATA_CENTRE, logger: silentLogger, metrics: memoryMetrics() })
  const context = { view, pool, client, quarantine: quarantineOf(view, clock, client), random, logger: silentLogger, metrics: memoryMetrics() }
  const kind = KINDS[random.int(0, KINDS.length - 1)] ?? RouteKind.AtMostOnce
  const isResumable = kind === RouteKind.Stream && random.real() < 0.5
  if (random.real() < 0.5) pool.recordDuration('decks', random.int(10, 400))
  const stopsAtMs = random.real() < 0.5 ? random.int(0, MAX_WAIT_MS) : NEVER_MS
  const hostEndsAtMs = stopsAtMs + random.int(0, MAX_WAIT_MS)
  const caller = new Scope('caller')
  if (random.real() < 0.2) clock.callAt(random.int(0, MAX_WAIT_MS), () => caller.close('left'))
  const round: Round = { outcome: undefined, mayHaveRunCount: 0, lateCount: 0, openCount: 0, kind, isResumable }
  const hasTime = (): boolean => clock.nowMs() < stopsAtMs
  const endsAtMs: number[] = []
  const refusedBy = new Set<string>()
  const next = ({ endpoint: { endpointId }, wasRefusedThere }: EndpointRequest): Script => {
    // On a connection that it used before, an endpoint may repeat a refusal while it runs the request.
    const isRepeated = refusedBy.has(endpointId) && wasRefusedThere !== true && random.real() < REPEATED_SHARE
    const script = isRepeated ? { ...notExecutedOf(random), mayHaveRun: true } : scriptOf(random)
    if (script.outcome.kind === 'notExecuted') refusedBy.add(endpointId)
    endsAtMs.push(clock.nowMs() + script.afterMs)
    if (!hasTime() && round.mayHaveRunCount === 0) round.lateCount++
    if (script.mayHaveRun) round.mayHaveRunCount++
    return script
  }
  client.onCall = sent => next(sent)
  client.onStream = sent => {
    const { afterMs, outcome } = next(sent)
    if (outcome.kind !== 'answered' || outcome.status !== 200) return { chunks: [], gapMs: afterMs, ending: { kind: 'ended' }, refuses: outcome }
    return { chunks: ['id: 1\ndata: x\n\n'], gapMs: afterMs, ending: { kind: 'ended' } }
  }
  const request = {
    route: route({ kind, isResumable }),
    method: 'POST',
    path: '/open/7',
    host: HOST,
    headers: [],
    body: new Uint8Array(),
    attemptId: 'a1',
    hasTime,
    afterEventId: undefined,
    progress: new Progress(clock, caller, random.int(1, MAX_WAIT_MS), () => clock.nowMs() < stopsAtMs ? Number.POSITIVE_INFINITY : hostEndsAtMs)
  }
  const sink = { head: () => {}, write: async () => {} }
  const forwarded = kind === RouteKind.Stream ? new StreamForwarder(context).forward(request, sink) : new RequestForwarder(context).forward(request)
  round.outcome = await clock.advanceUntil(forwarded.catch((error: unknown) => {
    if (!(error instanceof ScopeClosedError)) throw error
    return undefined
  }))
  round.openCount = endsAtMs.filter(atMs => atMs >= clock.nowMs()).length
  return round
}

/** What a round did that must not be. */
function problemsOf ({ outcome, mayHaveRunCount, lateCount, openCount, kind, isResumable }: Round): string[] {
  const executed = outcome?.kind === 'refused' ? outcome.executed : undefined
  const runsOnce = kind === RouteKind.AtMostOnce || (kind === RouteKind.Stream && !isResumable)
  return [
    executed === Executed.No && mayHaveRunCount > 0 ? 'refused as not run, and may have run' : '',
    executed === Executed.Unknown && mayHaveRunCount + openCount === 0 ? 'refused as perhaps run, and no endpoint had it' : '',
    runsOnce && mayHaveRunCount > 1 ? `may run once, sent to ${mayHaveRunCount}` : '',
    lateCount > 0 ? 'sent without time' : ''
  ].filter(problem => problem !== '')
}

// Guards against a refusal that is not true, and against sends that cannot be answered any more.
test('should say that a request has not run only if no endpoint may have run it, whatever comes of its tries', async t => {
  const counts = new Map<string, number>()
  for (let seed = 1; seed <= ROUNDS_COUNT; seed++) {
    const round = await play(seed)
    t.deepEqual(problemsOf(round), [], `seed ${seed}`)
    if (round.outcome?.kind !== 'refused') continue
    const name = `${round.kind} ${round.outcome.executed}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  for (const kind of KINDS) for (const executed of [Executed.No, Executed.Unknown]) t.true((counts.get(`${kind} ${executed}`) ?? 0) > ROUNDS_COUNT / 100, JSON.stringify([...counts]))
})
