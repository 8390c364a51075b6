/**
 * A small model engine on a virtual clock: continuous batching, chunked
 * prefill, a prefix cache of limited size, and a priority queue.
 *
 * One step generates one token for every request past its prefill. A step takes a
 * fixed time, plus a little for each request in it, plus the time to compute its
 * prompt tokens.
 */
import { LRUCache } from 'lru-cache'
import type { LoadReport } from '../../src/protocol/endpoints.js'
import type { Clock } from '../../src/utils/clock.js'
import type { Scope } from '../../src/utils/scope.js'

export interface EngineSpec {
  maxConcurrentCount: number
  stepMs: number
  stepPerRequestMs: number
  prefillTokensPerMs: number
  prefillChunkTokensCount: number
  cacheTokensCount: number
}

export const defaultEngineSpec: EngineSpec = {
  maxConcurrentCount: 16,
  stepMs: 10,
  stepPerRequestMs: 0.1,
  prefillTokensPerMs: 20,
  prefillChunkTokensCount: 512,
  cacheTokensCount: 12_000
}

/** A segment of a prompt's prefix that other prompts may share. */
export interface PrefixPart {
  key: string
  tokensCount: number
}

export interface EngineJob {
  prefix: PrefixPart[]
  /** Prompt tokens that no other request shares. */
  ownTokensCount: number
  outputTokensCount: number
  /** Higher values are served first. */
  priority: number
}

export interface EngineResult {
  kind: 'complete' | 'failed' | 'cancelled'
  tokensCount: number
  firstTokenAtMs?: number
}

interface RunningJob {
  job: EngineJob
  prefillRemainingCount: number
  tokensCount: number
  firstTokenAtMs: number | undefined
  admitted: boolean
  end (result: EngineResult): void
}

export class StandInEngine {
  readonly spec: EngineSpec
  /** Speed factor: 1 is the specified speed; 0.2 makes every step take five times as long. */
  speed = 1
  cachedTokensCount = 0
  promptTokensCount = 0
  peakCount = 0
  private readonly _clock: Clock
  private readonly _cache: LRUCache<string, number>
  private _jobs: RunningJob[] = []
  private _isUp = true
  private _isStepping = false
  private _incarnation = 1
  private _tokensSinceReport = 0
  private _reportedAtMs = 0

  constructor (clock: Clock, spec: EngineSpec = defaultEngineSpec) {
    this._clock = clock
    this.spec = spec
    this._cache = new LRUCache<string, number>({ maxSize: spec.cacheTokensCount, sizeCalculation: value => value })
  }

  get isUp (): boolean {
    return this._isUp
  }

  get incarnation (): number {
    return this._incarnation
  }

  get heldCount (): number {
    return this._jobs.length
  }

  /** Fails all requests and refuses new ones until `restart`. */
  crash (): void {
    this._isUp = false
    const lost = this._jobs
    this._jobs = []
    this._cache.clear()
    for (const running of lost) running.end({ kind: 'failed', tokensCount: running.tokensCount })
  }

  restart (): void {
    this._isUp = true
    this._incarnation += 1
  }

  report (): LoadReport {
    const nowMs = this._clock.nowMs()
    const tokensPerSecond = 1000 * this._tokensSinceReport / Math.max(1, nowMs - this._reportedAtMs)
    this._tokensSinceReport = 0
    this._reportedAtMs = nowMs
    const runningCount = this._jobs.filter(({ admitted }) => admitted).length
    return { runningCount, waitingCount: this._jobs.length - runningCount, kvUsedPercent: 0, tokensPerSecond, ageMs: 0 }
  }

  /** Runs until the job completes, the engine crashes, or the scope closes. */
  run (job: EngineJob, scope: Scope): Promise<EngineResult> {
    if (!this._isUp) return Promise.resolve({ kind: 'failed', tokensCount: 0 })
    return new Promise(resolve => {
      const running: RunningJob = { job, prefillRemainingCount: 0, tokensCount: 0, firstTokenAtMs: undefined, admitted: false, end: resolve }
      const unsubscribe = scope.onClose(() => {
        this._jobs = this._jobs.filter(other => other !== running)
        resolve({ kind: 'cancelled', tokensCount: running.tokensCount })
      })
      running.end = result => {
        unsubscribe()
        resolve(result)
      }
      this._jobs.push(running)
      this.peakCount = Math.max(this.peakCount, this._jobs.length)
      if (!this._isStepping) this._step()
    })
  }

  private _step (): void {
    this._admitWaiting()
    const admitted = this._jobs.filter(job => job.admitted)
    this._isStepping = admitted.length > 0
    if (!this._isStepping) return
    const decoding = admitted.filter(job => job.prefillRemainingCount === 0)
    const prefilledCount = this._prefill(admitted)
    const stepMs = this.spec.stepMs + this.spec.stepPerRequestMs * admitted.length + prefilledCount / this.spec.prefillTokensPerMs
    this._clock.callAt(this._clock.nowMs() + stepMs / this.speed, () => {
      for (const job of decoding) this._generateToken(job)
      this._step()
    })
  }

  private _admitWaiting (): void {
    let freeCount = this.spec.maxConcurrentCount - this._jobs.filter(job => job.admitted).length
    const waiting = this._jobs.filter(job => !job.admitted).sort((a, b) => b.job.priority - a.job.priority)
    for (const running of waiting) {
      if (freeCount-- <= 0) return
      running.admitted = true
      running.prefillRemainingCount = this._uncachedTokens(running.job)
    }
  }

  private _uncachedTokens (job: EngineJob): number {
    let uncachedCount = job.ownTokensCount
    let stillCached = true
    for (const { key, tokensCount } of job.prefix) {
      stillCached = stillCached && this._cache.get(key) !== undefined
      if (!stillCached) uncachedCount += tokensCount
      else this.cachedTokensCount += tokensCount
      this.promptTokensCount += tokensCount
    }
    this.promptTokensCount += job.ownTokensCount
    return Math.max(1, uncachedCount)
  }

  private _prefill (admitted: RunningJob[]): number {
    let remainingCount = this.spec.prefillChunkTokensCount
    for (const running of admitted) {
      if (running.prefillRemainingCount === 0 || remainingCount === 0) continue
      const prefilledCount = Math.min(remainingCount, running.prefillRemainingCount)
      remainingCount -= prefilledCount
      running.prefillRemainingCount -= prefilledCount
      if (running.prefillRemainingCount > 0) continue
      for (const { key, tokensCount } of running.job.prefix) this._cache.set(key, tokensCount)
    }
    return this.spec.prefillChunkTokensCount - remainingCount
  }

  private _generateToken (running: RunningJob): void {
    if (!this._jobs.includes(running)) return
    running.tokensCount += 1
    running.firstTokenAtMs ??= this._clock.nowMs()
    this._tokensSinceReport += 1
    if (running.tokensCount < running.job.outputTokensCount) return
    this._jobs = this._jobs.filter(other => other !== running)
    running.end({ kind: 'complete', tokensCount: running.tokensCount, firstTokenAtMs: running.firstTokenAtMs })
  }
}
