/**
 * Callers, a trainer and an operator of the fleet's soak, as the published
 * protocol has them: each keeps its connections until they end, turns to another
 * host after a failure, and notes what it was told.
 */
import { Agent } from 'undici'
import { WireHeader, WirePath } from '../../platform/wireNames.js'
import type { RandomSource } from '../../src/utils/randomSource.js'
import { MODEL, pause, SLOTS_COUNT, SoakService } from './soakEndpoint.js'
import { CallKind, eventsCountOf, type BatchSeen, type ItemSeen, type SoakRecord } from './soakRecord.js'

const HOST_NAME = 'soak.example'
const CALL_GAP_MS = 60
const DEADLY_GAP_MS = 250
const CALL_TIMEOUT_MS = 2_000
const CHANGE_TIMEOUT_MS = 1_000
const RETRY_PAUSE_MS = 150
const STEP_GAP_MS = 1_500
const GROUPS_PER_STEP = 3
const ITEMS_PER_GROUP = 4
const READ_GAP_MS = 400
/** What a trainer waits for a step before it ends it. */
const STEP_PATIENCE_MS = 9_000
const PROBE_GAP_MS = 500
/** How long callers go on asking for what was accepted, once everything is quiet. */
const END_PATIENCE_MS = 20_000
const BODY_BYTES_LIMIT = 1_048_576
const STRANGE_GAP_MS = 300
const STRANGE_CALLS = [
  { path: `${WirePath.Endpoints}%E0%A4%A/heartbeat`, body: '{}' },
  { path: `${WirePath.Endpoints}i-1/heartbeat`, body: '{"service":7,"state":"asleep"}' },
  { path: `${WirePath.Endpoints}i-1/heartbeat`, body: '\u0000{' },
  { path: `${WirePath.Endpoints}i-1/deregister`, body: '{"born":"yesterday"}' },
  { path: `${WirePath.Retirement}%/begin`, body: '' },
  { path: WirePath.ReplaceRouting, body: '{"version":-1}' },
  { path: `${WirePath.Batches}%00`, body: '[]' },
  { path: '/hints/stranger', body: '{"items":[]}' }
] as const

export interface SoakCallersParts {
  random: RandomSource
  record: SoakRecord
  nowMs: () => number
  callerAddresses: () => string[]
  controlAddresses: () => string[]
}

interface Answer {
  status: number
  body: string
  hasReceipt: boolean
}

interface ResultsPage {
  total: number
  'next-token': number
  results: Array<{ id: string, state: string, text: string, versions: number[] }>
}

export class SoakCallers {
  private readonly _parts: SoakCallersParts
  private readonly _agent = new Agent({ connect: { timeout: CHANGE_TIMEOUT_MS }, keepAliveTimeout: 15_000, pipelining: 1 })
  private _isOver = false
  private _callsCount = 0
  private _versionsCount = 0
  private _namedVersion = 1
  private _configuredVersion = 0

  constructor (parts: SoakCallersParts) {
    this._parts = parts
  }

  /** Runs until it is told to finish. */
  async run (): Promise<void> {
    await Promise.all([this._callOn(CallKind.Repeatable, '/open/'), this._callOn(CallKind.AtMostOnce, '/once/'), this._train(), this._probe(), this._disturbAsStranger()])
  }

  finish (): void {
    this._isOver = true
  }

  /** Sends the next version of the configuration until it is taken. */
  async configure (): Promise<void> {
    const version = ++this._configuredVersion
    const body = JSON.stringify(configuration(version))
    for (let tries = 0; !this._isOver || tries < 20; tries++) {
      const answer = await this._send(this._pick(this._parts.controlAddresses()), 'POST', WirePath.ReplaceRouting, {}, body, CHANGE_TIMEOUT_MS)
      if (answer?.status === 200) {
        this._parts.record.configurations.push({ version, confirmedAtMs: this._parts.nowMs() })
        return
      }
      await pause(RETRY_PAUSE_MS)
    }
  }

  /** Repeats a request that ends whatever runs it, with the same path, at any host. */
  async repeatDeadly (callerId: string, forMs: number): Promise<void> {
    const { nowMs, callerAddresses } = this._parts
    const untilMs = nowMs() + forMs
    const calling: Array<Promise<unknown>> = []
    for (let number = 1; nowMs() < untilMs; number++) {
      calling.push(this._send(this._pick(callerAddresses()), 'GET', `/open/${callerId}`, { [WireHeader.AttemptId]: `${callerId}-${number}` }, undefined, CALL_TIMEOUT_MS))
      await pause(DEADLY_GAP_MS)
    }
    await Promise.all(calling)
  }

  /** Once nothing is disturbed any more: all that was accepted, read from the start, and the newest configuration. */
  async readAll (): Promise<void> {
    const { record } = this._parts
    for (const batch of record.batches) if (batch.acceptedAtMs !== undefined) batch.atEnd = await this._readWhole(batch)
    record.readBackVersion = await this._readBack()
    await this._agent.close()
  }

  private async _callOn (kind: CallKind, prefix: string): Promise<void> {
    const { record, nowMs, callerAddresses } = this._parts
    const calling: Array<Promise<void>> = []
    while (!this._isOver) {
      const attemptId = `${kind}-${++this._callsCount}`
      calling.push((async () => {
        const sentAtMs = nowMs()
        const method = kind === CallKind.Repeatable ? 'GET' : 'POST'
        const answer = await this._send(this._pick(callerAddresses()), method, `${prefix}${attemptId}`, { [WireHeader.AttemptId]: attemptId }, undefined, CALL_TIMEOUT_MS)
        record.calls.push({ attemptId, kind, sentAtMs, status: answer?.status, body: answer?.body ?? '', hasReceipt: answer?.hasReceipt ?? false })
      })())
      await pause(CALL_GAP_MS)
    }
    await Promise.all(calling)
  }

  /** Asks for a step, waits for its groups, names the next version, and asks on. */
  private async _train (): Promise<void> {
    const { record, nowMs } = this._parts
    for (let step = 0; !this._isOver; step++) {
      const batch: BatchSeen = { batchId: `lot-${step}`, itemIds: itemIdsOf(step), minVersion: Math.max(1, this._namedVersion - 1), acceptedAtMs: undefined, isEndedEarly: false, firstRead: [], atEnd: undefined }
      if (await this._submit(batch, step)) {
        record.batches.push(batch)
        await this._readUntilWhole(batch, nowMs() + STEP_PATIENCE_MS)
        batch.isEndedEarly = batch.firstRead.length < batch.itemIds.length
        await this._sendAnywhere('DELETE', `${WirePath.Batches}${batch.batchId}`)
        await this._nameWeights()
      }
      await pause(STEP_GAP_MS)
    }
  }

  private async _submit (batch: BatchSeen, step: number): Promise<boolean> {
    const items = batch.itemIds.map((id, index) => ({
      id,
      path: `/hints/${id}`,
      headers: { 'X-Threaddrum-Model': MODEL, 'X-Threaddrum-Token-Count': `100,${eventsCountOf(id)}` },
      body: Buffer.from(`body of ${id}`).toString('base64'),
      tokens: 100 + eventsCountOf(id),
      group: `${batch.batchId}-g${Math.floor(index / ITEMS_PER_GROUP)}`,
      scorer: { id: `score-${id}`, host: HOST_NAME, path: `/open/score/${id}`, body: 'AA==' }
    }))
    const body = JSON.stringify({ step, model: MODEL, 'min-version': batch.minVersion, desired: GROUPS_PER_STEP, items })
    for (;;) {
      const answer = await this._send(this._pick(this._parts.callerAddresses()), 'POST', `/hints/${batch.batchId}`, { [WireHeader.AttemptId]: batch.batchId }, body, CALL_TIMEOUT_MS)
      if (answer?.status === 202) {
        batch.acceptedAtMs = this._parts.nowMs()
        return true
      }
      if (this._isOver) return false
      await pause(RETRY_PAUSE_MS)
    }
  }

  private async _readUntilWhole (batch: BatchSeen, untilMs: number): Promise<void> {
    while (batch.firstRead.length < batch.itemIds.length && this._parts.nowMs() < untilMs && !this._isOver) {
      const page = await this._readPage(batch.batchId, batch.firstRead.length)
      batch.firstRead.push(...page ?? [])
      await pause(READ_GAP_MS)
    }
  }

  private async _readWhole ({ batchId, itemIds }: BatchSeen): Promise<ItemSeen[] | undefined> {
    const givesUpAtMs = this._parts.nowMs() + END_PATIENCE_MS
    const read: ItemSeen[] = []
    while (this._parts.nowMs() < givesUpAtMs) {
      const page = await this._readPage(batchId, read.length)
      read.push(...page ?? [])
      if (read.length >= itemIds.length) return read
      if (!page) await pause(RETRY_PAUSE_MS)
    }
    // An ended batch need not list all; what it lists stays.
    return read.length > 0 || await this._readPage(batchId, 0) ? read : undefined
  }

  private async _readPage (batchId: string, position: number): Promise<ItemSeen[] | undefined> {
    const answer = await this._sendAnywhere('GET', `${WirePath.Batches}${batchId}?after-rev=${position}`)
    if (answer?.status !== 200) return undefined
    const { results } = JSON.parse(answer.body) as ResultsPage
    return results.map(({ id, state, text, versions }) => ({ itemId: id, state, text, versions }))
  }

  private async _nameWeights (): Promise<void> {
    const version = 2 + this._versionsCount++
    const body = JSON.stringify({ model: MODEL, version })
    while (!this._isOver) {
      const answer = await this._send(this._pick(this._parts.controlAddresses()), 'POST', WirePath.NameWeights, {}, body, CHANGE_TIMEOUT_MS)
      if (answer?.status === 200) {
        this._namedVersion = version
        return
      }
      await pause(RETRY_PAUSE_MS)
    }
  }

  /** Asks on the route that came with the newest configuration, while none is on its way that takes the route away. */
  private async _probe (): Promise<void> {
    const { record, nowMs, callerAddresses } = this._parts
    while (!this._isOver) {
      await pause(PROBE_GAP_MS)
      const version = this._configuredVersion
      if (!record.configurations.some(configuration => configuration.version === version)) continue
      const sentAtMs = nowMs()
      const answer = await this._send(this._pick(callerAddresses()), 'GET', `/only-${version}/x`, { [WireHeader.AttemptId]: `probe-${sentAtMs}` }, undefined, CALL_TIMEOUT_MS)
      if (version === this._configuredVersion) record.probes.push({ version, sentAtMs, status: answer?.status })
    }
  }

  /** Somebody who speaks the protocol badly: what cannot be read is refused, and nothing else happens. */
  private async _disturbAsStranger (): Promise<void> {
    const { random, callerAddresses, controlAddresses } = this._parts
    while (!this._isOver) {
      const { path, body } = STRANGE_CALLS[random.int(0, STRANGE_CALLS.length - 1)] ?? STRANGE_CALLS[0]
      await this._send(this._pick([...controlAddresses(), ...callerAddresses()]), 'POST', path, { [WireHeader.AttemptId]: 'stranger' }, body, CHANGE_TIMEOUT_MS)
      await pause(STRANGE_GAP_MS)
    }
  }

  private async _readBack (): Promise<number | undefined> {
    const givesUpAtMs = this._parts.nowMs() + END_PATIENCE_MS
    while (this._parts.nowMs() < givesUpAtMs) {
      const answer = await this._send(this._pick(this._parts.controlAddresses()), 'GET', WirePath.ReadRouting, {}, undefined, CHANGE_TIMEOUT_MS)
      if (answer?.status === 200) return (JSON.parse(answer.body) as { version: number }).version
      await pause(RETRY_PAUSE_MS)
    }
    return undefined
  }

  private async _sendAnywhere (method: 'GET' | 'DELETE', path: string): Promise<Answer | undefined> {
    return await this._send(this._pick(this._parts.callerAddresses()), method, path, {}, undefined, CALL_TIMEOUT_MS)
  }

  /** Undefined when no whole answer came in time. */
  private async _send (address: string, method: 'GET' | 'POST' | 'DELETE', path: string, headers: Record<string, string>, body: string | undefined, timeoutMs: number): Promise<Answer | undefined> {
    try {
      const answer = await this._agent.request({ origin: `http://${address}`, method, path, headers: { host: HOST_NAME, ...headers }, body: body ?? null, signal: AbortSignal.timeout(timeoutMs) })
      const text = await answer.body.text()
      return { status: answer.statusCode, body: text, hasReceipt: answer.headers[WireHeader.Receipt] !== undefined }
    } catch {
      return undefined
    }
  }

  private _pick (addresses: string[]): string {
    return addresses[this._parts.random.int(0, addresses.length - 1)] ?? ''
  }
}

function itemIdsOf (step: number): string[] {
  return Array.from({ length: GROUPS_PER_STEP * ITEMS_PER_GROUP }, (_, index) => `item-${step}-${index}`)
}

function configuration (version: number): object {
  const route = (name: string, prefix: string, type: string, more: object = {}): object => (
    { name, host: HOST_NAME, 'path-prefix': prefix, 'route-type': type, 'timeout-ms': 1_500, 'slo-ms': 400, service: SoakService.Decks, 'max-attempts': 3, ...more }
  )
  return {
    version,
    routes: [
      route('open', '/open/', 'idempotent'),
      route('once', '/once/', 'non_idempotent', { 'max-attempts': 1 }),
      route('hints', '/hints/', 'rollout', { service: SoakService.Engines, 'due-ms': 7_500, 'max-queue-s': 12 }),
      route('newest', `/only-${version}/`, 'idempotent')
    ],
    services: [
      { name: SoakService.Decks, 'health-path': '/healthz', 'max-conns': 100 },
      { name: SoakService.Engines, 'health-path': '/healthz', 'max-conns': 100, engine: { slots: SLOTS_COUNT, 'kv-capacity': 50_000, stride: 1, models: [{ name: MODEL }] } }
    ],
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': BODY_BYTES_LIMIT, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
  }
}
