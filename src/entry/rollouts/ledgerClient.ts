/**
 * Submits commands to the ledger until their outcome is known. The commands are
 * idempotent, so a command with an unknown outcome is sent again.
 */
import type { ControlClient } from '../../controlClient/controlClient.js'
import type { RolloutCommand, RolloutResult } from '../../protocol/rolloutCommands.js'
import { sleepUntil } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'

const INITIAL_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 2_000

export class LedgerClient {
  private readonly _control: ControlClient
  private readonly _random: RandomSource

  constructor (control: ControlClient, random: RandomSource) {
    this._control = control
    this._random = random
  }

  /**
   * @returns undefined when the deadline passed before an outcome was known
   * @throws ScopeClosedError when the scope of the progress closes first
   */
  async submit (command: RolloutCommand, progress: Progress): Promise<RolloutResult | undefined> {
    for (let backoffMs = INITIAL_BACKOFF_MS; ; backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS)) {
      const outcome = await progress.scope.race(this._control.submit(command, progress))
      if (outcome.kind === 'committed') return outcome.result
      progress.log(`${command.kind}: ${outcome.kind}: ${outcome.reason}`)
      if (progress.remainingMs() <= backoffMs) return undefined
      const jitteredMs = backoffMs * (0.5 + this._random.real())
      await sleepUntil(progress.clock, progress.scope, progress.clock.nowMs() + jitteredMs)
    }
  }
}
