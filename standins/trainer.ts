/**
 * Stand-in for a trainer: pulls complete steps, simulates training, uploads new
 * weights to the store and publishes them. It checks the samples, measures its
 * idle time, and retries after lost answers and refusals, including those of
 * fenced hosts.
 */
import { request } from 'undici'
import { callerPaths } from '../src/protocol/callers.js'
import { weightsUrl } from '../src/protocol/endpoints.js'
import { RefusalReason } from '../src/protocol/refusals.js'
import { openSessionReplySchema, pullReplySchema, type PullReply, type Sample } from '../src/protocol/trainers.js'
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import { systemRandom } from '../src/utils/randomSource.js'
import { Scope } from '../src/utils/scope.js'
import { EntryClient } from './entryClient.js'
import type { TrainerSettings } from './standInSettings.js'
import { TrainerChecks } from './trainerChecks.js'

export interface StepSummary {
  step: number
  samplesCount: number
  trainerVersion: number
  /** Time between the first request for the step and the receipt of its last sample. */
  idleMs: number
}

export interface TrainerReport {
  job: string
  done: boolean
  fenced: boolean
  heldPosition: number
  trainerVersion: number
  steps: StepSummary[]
  violations: string[]
  staleness: number[]
  samples: Sample[]
  /** Requests that were repeated because the answer was lost or refused. */
  asksAgainCount: number
}

const PULL_WAIT_MS = 1_000
const RETRY_DELAY_MS = 100

type Reply = { kind: 'reply', value: unknown } | { kind: 'fenced' }

export class Trainer {
  private readonly _settings: TrainerSettings
  private readonly _clock: Clock
  private readonly _client: EntryClient
  private readonly _scope: Scope
  private readonly _steps: StepSummary[] = []
  private readonly _samples: Sample[] = []
  private _checks: TrainerChecks
  private _sessionNumber = 0
  private _trainerVersion = 0
  private _retriesCount = 0
  private _done = false
  private _fenced = false

  constructor (settings: TrainerSettings, clock: Clock) {
    this._settings = settings
    this._clock = clock
    this._scope = new Scope(`trainer ${settings.job}`)
    this._checks = new TrainerChecks(settings.stalenessBoundVersions, 0)
    this._client = new EntryClient({
      clock,
      entryHosts: settings.entryHosts,
      dataCentre: settings.dataCentre,
      callerName: `trainer-${settings.job}`
    })
  }

  /** Runs all steps; returns early if a newer session has fenced this one. */
  async run (): Promise<TrainerReport> {
    if (await this._openSession()) {
      for (let step = 0; step < this._settings.stepsCount && !this._fenced; step++) await this._runStep(step)
    }
    this._done = true
    return this.report()
  }

  report (): TrainerReport {
    return {
      job: this._settings.job,
      done: this._done,
      fenced: this._fenced,
      heldPosition: this._checks.heldPosition,
      trainerVersion: this._trainerVersion,
      steps: this._steps,
      violations: this._checks.violations,
      staleness: [...this._checks.staleness],
      samples: this._samples,
      asksAgainCount: this._retriesCount
    }
  }

  async stop (): Promise<void> {
    this._scope.close('stopped')
    await this._client.close()
  }

  private async _openSession (): Promise<boolean> {
    const reply = await this._request('session', { sessionId: systemRandom().id() })
    if (reply.kind === 'fenced') return false
    const { sessionNumber, confirmedPosition } = openSessionReplySchema.parse(reply.value)
    this._sessionNumber = sessionNumber
    this._checks = new TrainerChecks(this._settings.stalenessBoundVersions, confirmedPosition)
    return true
  }

  private async _runStep (step: number): Promise<void> {
    const requestedAtMs = this._clock.nowMs()
    const countBefore = this._samples.length
    for (;;) {
      const reply = await this._pull(step)
      if (!reply) return
      this._addSamples(reply)
      if (reply.stepComplete) break
    }
    this._checks.checkStep(step, this._settings.samplesPerStepCount)
    this._steps.push({
      step,
      samplesCount: this._samples.length - countBefore,
      trainerVersion: this._trainerVersion,
      idleMs: this._clock.nowMs() - requestedAtMs
    })
    await this._pause(this._settings.trainMs)
    await this._publish(this._trainerVersion + 1)
  }

  private async _pull (step: number): Promise<PullReply | undefined> {
    const reply = await this._request('pull', {
      sessionNumber: this._sessionNumber,
      step,
      heldPosition: this._checks.heldPosition,
      trainerVersion: this._trainerVersion,
      maxSamplesCount: this._settings.maxSamplesPerPullCount,
      waitMs: PULL_WAIT_MS
    })
    return reply.kind === 'reply' ? pullReplySchema.parse(reply.value) : undefined
  }

  private _addSamples ({ samples }: PullReply): void {
    for (const sample of samples) {
      this._checks.checkSample(sample, this._trainerVersion)
      this._samples.push(sample)
    }
  }

  private async _publish (weightVersion: number): Promise<void> {
    await this._upload(weightVersion)
    const reply = await this._request('weights', { sessionNumber: this._sessionNumber, weightVersion })
    if (reply.kind === 'reply') this._trainerVersion = weightVersion
  }

  private async _upload (weightVersion: number): Promise<void> {
    const answer = await this._scope.race(request(weightsUrl(this._settings.weightStoreUrl, weightVersion), { method: 'PUT', body: 'weights' }))
    await answer.body.dump()
  }

  /** Sends a request until it is answered. Every call of the trainer protocol is idempotent. */
  private async _request (call: string, body: unknown): Promise<Reply> {
    const path = `${callerPaths.trainers}${this._settings.job}/${call}`
    for (;;) {
      const answer = await this._scope.race(this._client.send({ method: 'POST', path, body: JSON.stringify(body) }))
      if (answer.kind === 'answered') {
        const value: unknown = await answer.body.json().catch(() => undefined)
        if (value !== undefined) return { kind: 'reply', value }
      }
      if (answer.kind === 'refused' && answer.refusal.reason === RefusalReason.SessionFenced) {
        this._fenced = true
        return { kind: 'fenced' }
      }
      this._retriesCount++
      this._client.invalidateAdvice()
      await this._pause(answer.kind === 'refused' ? answer.refusal.retryAfterMs ?? RETRY_DELAY_MS : RETRY_DELAY_MS)
    }
  }

  private async _pause (durationMs: number): Promise<void> {
    if (durationMs > 0) await sleepUntil(this._clock, this._scope, this._clock.nowMs() + durationMs)
  }
}
