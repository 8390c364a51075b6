/** Runs the steps of the demo. */
import { readResourceFile } from '../src/cli/resourceFile.js'
import { CallerHeader, callerPaths } from '../src/protocol/callers.js'
import { ResourceKind, rolloutJobSpecSchema, type RolloutJobSpec } from '../src/protocol/resources.js'
import { systemClock } from '../src/utils/clock.js'
import { EntryClient, type EntryAnswer, type EntryRequest } from '../standins/entryClient.js'
import { engineRecordSchema, serviceRecordSchema, trainerRecordSchema } from '../standins/recordSchemas.js'
import { readStream } from '../standins/streamReader.js'
import { findVersionMismatches } from '../standins/versionCheck.js'
import { getJson, type LocalSystem } from './localSystem.js'
import type { ManagedProcess } from './processGroup.js'
import { progressLine, samplesTable, printLine, stepsTable } from './report.js'
import { waitFor } from './waitFor.js'

const ENGINES_COUNT = 2
const STEPS_COUNT = 3
const RESOURCES_FILE = 'examples/practice-hints.toml'
const DECK_FILE = 'examples/dutch-deck.txt'
const REVIEW_KEY = 'review-of-card-1'
const PROGRESS_INTERVAL_MS = 1_000
const MAX_TEXT_CHARS = 80

type Answered = Extract<EntryAnswer, { kind: 'answered' }>

export class DemoRun {
  private readonly _system: LocalSystem
  private readonly _client: EntryClient
  private _controls: ManagedProcess[] = []
  private _entries: ManagedProcess[] = []
  private _standIns: ManagedProcess[] = []

  constructor (system: LocalSystem) {
    this._system = system
    this._client = new EntryClient({ clock: systemClock, entryHosts: system.entryAddresses, dataCentre: 'hal-a', callerName: 'learner' })
  }

  async start (): Promise<void> {
    printLine('starting three control hosts and three entry hosts in two data centres')
    this._controls = this._system.startControls()
    this._entries = this._system.startEntries()
    const { leaderHostId, term } = await this._system.waitUntilReady()
    printLine(`  the control leader is ${leaderHostId ?? 'nobody'} in term ${term}; every entry host holds its lease`)
    printLine('starting a weight store, two model engines, a deck service and a scoring service')
    const engines = Array.from({ length: ENGINES_COUNT }, (_value, index) => this._system.startEngine(index))
    this._standIns = [this._system.startWeightStore(), ...engines, this._system.startService(), this._system.startScoring()]
    this._system.localFile(DECK_FILE)
    printLine(`threaddrum apply --wait ${RESOURCES_FILE}`)
    await this._runCommand(['apply', '--wait', this._system.localFile(RESOURCES_FILE)])
  }

  async sendCallerRequests (): Promise<void> {
    const hosts = await this._client.hosts()
    printLine(`a caller requests advice and gets the hosts ${hosts.join(', ')}`)
    const card = await this._request({ method: 'GET', path: `${callerPaths.services}decks/cards/1` })
    printLine(`  plain answer from ${String(card.headers[CallerHeader.ServedBy])}: ${(await card.body.text()).slice(0, MAX_TEXT_CHARS)}`)
    await this._sendReview()
    await this._streamCompletion()
  }

  async train (): Promise<void> {
    const spec = this._jobSpec()
    const samplesPerStepCount = spec.groupSizeCount * spec.groupsPerStepCount
    printLine(`a trainer pulls ${STEPS_COUNT} steps of ${samplesPerStepCount} samples and publishes new weights after each`)
    this._standIns.push(this._system.startTrainer({
      job: 'practice-hints',
      stepsCount: STEPS_COUNT,
      samplesPerStepCount,
      stalenessBoundVersions: spec.stalenessBoundVersions
    }))
    const record = await this._followTrainer(samplesPerStepCount)
    printLine(samplesTable(record))
    printLine(stepsTable(record))
    if (record.violations.length > 0) throw new Error(`the trainer reported violations: ${record.violations.join('; ')}`)
    const mismatches = findVersionMismatches(record.samples, await this._engineGenerations())
    if (mismatches.length > 0) throw new Error(`samples claim versions that the engines did not record: ${mismatches.join('; ')}`)
    printLine(`checked: ${record.samples.length} samples, fresh, complete, each once, versions as the engines recorded them`)
  }

  showHowToUse (): void {
    const [control = ''] = this._system.controlAddresses
    const [entry = ''] = this._system.entryAddresses
    printLine(`the system runs until Ctrl-C; logs and settings are in ${this._system.folder}`)
    printLine(`  callers, trainers, endpoints: ${this._system.entryAddresses.join(' ')}`)
    printLine(`  operators: ${this._system.controlAddresses.join(' ')}`)
    printLine('try:')
    printLine(`  export THREADDRUM_CONTROL=${this._system.controlAddresses.join(',')}`)
    printLine('  npx threaddrum status')
    printLine('  npx threaddrum get RolloutJob practice-hints')
    printLine('  npx threaddrum status --job practice-hints')
    printLine('  npx threaddrum drain entry-3')
    printLine(`  curl http://${control}/v1/status`)
    printLine(`  curl 'http://${entry}/v1/advice?dataCentre=hal-a'`)
    printLine(`  curl -N http://${entry}/v1/completions -H 'content-type: application/json' -d '{"model":"practice-lm","prompt":"Kaart","stream":true}'`)
  }

  async stop (): Promise<void> {
    printLine('stopping entry hosts, stand-ins and control hosts, in this order')
    await this._client.close()
    for (const group of [this._entries, this._standIns, this._controls]) {
      const ends = await Promise.all(group.map(async managed => ({ managed, end: await managed.stop() })))
      const failed = ends.filter(({ end }) => end.code !== 0)
      if (failed.length > 0) throw new Error(failed.map(({ managed, end }) => `${managed.name} exited with ${end.code ?? end.signal}`).join(', '))
    }
  }

  /** Stops what has been started so far; nothing more is started. */
  async stopEarly (): Promise<void> {
    printLine('stopping what has been started')
    this._system.processes.beginClosing()
    await this._client.close()
    for (const group of [this._entries, this._standIns, this._controls]) {
      await Promise.all(group.map(async managed => await managed.stop()))
    }
  }

  /** Sends a review twice with the same idempotency key and checks that it is executed once. */
  private async _sendReview (): Promise<void> {
    const review: EntryRequest = {
      method: 'POST',
      path: `${callerPaths.services}decks/reviews`,
      headers: { [CallerHeader.IdempotencyKey]: REVIEW_KEY },
      body: JSON.stringify({ card: 1 })
    }
    const first = await (await this._request(review)).body.text()
    const answer = await this._request(review)
    if (await answer.body.text() !== first) throw new Error('the answer to the repeated review differs from the first answer')
    const { executions } = serviceRecordSchema.parse(await getJson(`${this._system.serviceUrl}/record`))
    const reviewsCount = Object.values(executions).reduce((sum, count) => sum + count, 0) - 1
    if (reviewsCount !== 1) throw new Error(`expected the review to be executed once, but it was executed ${reviewsCount} times`)
    printLine('  a review sent twice under one Idempotency-Key ran once')
  }

  private async _streamCompletion (): Promise<void> {
    const answer = await this._request({
      method: 'POST',
      path: callerPaths.completions,
      headers: { [CallerHeader.PriorityClass]: 'learners' },
      body: JSON.stringify({ model: 'practice-lm', prompt: 'Kaart "de brug": geef een oefenhint.', max_tokens: 40, stream: true })
    })
    const { tokens, isWhole, misplacedCount } = await readStream(answer.body)
    if (!isWhole || misplacedCount > 0 || tokens.length === 0) throw new Error(`the stream is not complete: ${tokens.length} tokens, ${misplacedCount} chunks out of order`)
    printLine(`  streamed answer, ${tokens.length} tokens: ${tokens.join('').slice(0, MAX_TEXT_CHARS)}`)
  }

  /** Retries a request while it is refused as not executed. */
  private async _request (request: EntryRequest): Promise<Answered> {
    return await waitFor(`an answer to ${request.method} ${request.path}`, async () => {
      const answer = await this._client.send(request)
      if (answer.kind === 'answered') return answer
      if (answer.kind === 'lost') throw new Error(`${answer.host}: ${answer.reason}`)
      if (answer.refusal.executed !== 'no') throw new Error(JSON.stringify(answer.refusal))
      return undefined
    })
  }

  private async _followTrainer (samplesPerStepCount: number): Promise<ReturnType<typeof trainerRecordSchema.parse>> {
    let nextProgressAtMs = 0
    return await waitFor('the trainer to end', async () => {
      const parsed = trainerRecordSchema.safeParse(await getJson(`${this._system.trainerUrl}/record`))
      if (!parsed.success) return undefined
      if (performance.now() >= nextProgressAtMs || parsed.data.done) {
        printLine(progressLine(parsed.data, STEPS_COUNT, samplesPerStepCount))
        nextProgressAtMs = performance.now() + PROGRESS_INTERVAL_MS
      }
      return parsed.data.done && parsed.data
    })
  }

  private async _engineGenerations (): Promise<ReturnType<typeof engineRecordSchema.parse>['generations']> {
    const records = []
    for (let index = 0; index < ENGINES_COUNT; index++) {
      const { generations } = engineRecordSchema.parse(await getJson(`${this._system.engineUrl(index)}/record`))
      records.push(...generations)
    }
    return records
  }

  private _jobSpec (): RolloutJobSpec {
    const job = readResourceFile(this._system.localFile(RESOURCES_FILE)).find(({ kind }) => kind === ResourceKind.RolloutJob)
    return rolloutJobSpecSchema.parse(job?.spec)
  }

  private async _runCommand (args: string[]): Promise<void> {
    const command = this._system.startCommand(args)
    const { code } = await command.ended
    for (const line of command.log().trimEnd().split('\n')) printLine(`  ${line}`)
    if (code !== 0) throw new Error(`threaddrum ${args[0]} exited with ${code}`)
  }
}
