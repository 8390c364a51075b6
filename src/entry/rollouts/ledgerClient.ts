/**
 * Submits commands to the ledger until their fate is known. Commands of the
 * ledger are idempotent, so one whose fate is unknown is sent again.
 */
import type { ControlClient } from '../../controlClient/controlClient.js'
import type { RolloutCommand, RolloutResult } from '../../protocol/rolloutCommands.js'
import { sleepUntil } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'

const FIRST_PAUSE_MS = 50
const MAX_PAUSE_MS = 2_000

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
    for (let pauseMs = FIRST_PAUSE_MS; ; pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS)) {
      const outcome = await progress.scope.race(this._control.submit(command, progress))
      if (outcome.kind === 'committed') return outcome.result
      progress.log(`${command.kind}: ${outcome.kind}: ${outcome.reason}`)
      if (progress.remainingMs() <= pauseMs) return undefined
      const jitteredMs = pauseMs * (0.5 + this._random.real())
      await sleepUntil(progress.clock, progress.scope, progress.clock.nowMs() + jitteredMs)
    }
  }
}
