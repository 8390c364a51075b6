/**
 * Notes the versions that trainers name. Either of two logs will do: that of
 * the control hosts and that of the batch store. A version only grows, and
 * whoever acts on it takes the newest that either log tells, so a trainer is
 * answered by the first that has it on the disks of a quorum. While the control
 * hosts are split in two halves, no half of which may decide, trainers go on.
 * With the log of control alone each of them stands still until the split is over
 * (3 to 5 s of an 8 s step): days with such a split earned 0.68 and 0.79, and 0.80
 * and 0.82 with both logs (three played days each).
 */
import { RoutingCommandKind, type NamedWeights } from '../../protocol/routingCommands.js'
import type { PeerLinks } from '../../replication/log/peerLinks.js'
import { nameWeightsMethod } from '../../transport/batchMethods.js'
import { sleepUntil } from '../../utils/clock.js'
import type { Progress } from '../../utils/progress.js'
import type { LeaderCalls } from '../routing/leaderCalls.js'
import type { FollowerSessions } from './followerSessions.js'

/** Pause before another try while the store has no leader that is known here. */
const RETRY_PAUSE_MS = 40

export type NamingOutcome =
  /** On the disks of a quorum. */
  | { kind: 'committed', by: 'control' | 'store' }
  /** It may have been noted. */
  | { kind: 'unconfirmed', reason: string }

export interface WeightNamingParts {
  leaderCalls: Pick<LeaderCalls, 'submit'>
  followers: Pick<FollowerSessions, 'storeHosts'>
  links: Pick<PeerLinks, 'to'>
}

export class WeightNaming {
  private readonly _parts: WeightNamingParts

  constructor (parts: WeightNamingParts) {
    this._parts = parts
  }

  async name (weights: NamedWeights, progress: Progress): Promise<NamingOutcome> {
    const scope = progress.scope.child('naming')
    const own = progress.within(scope)
    const tries = [this._nameAtControl(weights, own), this._nameAtStore(weights, own)]
    try {
      return await scope.race(firstCommitted(tries))
    } finally {
      scope.close('named')
    }
  }

  private async _nameAtControl (weights: NamedWeights, progress: Progress): Promise<NamingOutcome> {
    const reply = await this._parts.leaderCalls.submit({ kind: RoutingCommandKind.NameWeights, ...weights }, progress)
    if (reply.kind === 'committed') return { kind: 'committed', by: 'control' }
    return { kind: 'unconfirmed', reason: 'reason' in reply ? reply.reason : 'no leader of control is known' }
  }

  private async _nameAtStore (weights: NamedWeights, progress: Progress): Promise<NamingOutcome> {
    let reason = 'no leader of the store is known'
    while (!progress.isOver()) {
      const address = this._storeLeaderAddress()
      if (address !== undefined) {
        const outcome = await this._parts.links.to({ peerAddress: address }).call(nameWeightsMethod, weights, progress)
        if (outcome.kind === 'replied' && outcome.body.kind === 'committed') return { kind: 'committed', by: 'store' }
        if (outcome.kind !== 'replied') reason = outcome.reason
        else if (outcome.body.kind === 'unavailable') reason = outcome.body.reason
      }
      const { clock } = progress
      await sleepUntil(clock, progress.scope, Math.min(progress.deadlineMs, clock.nowMs() + RETRY_PAUSE_MS))
    }
    return { kind: 'unconfirmed', reason }
  }

  private _storeLeaderAddress (): string | undefined {
    const stores = this._parts.followers.storeHosts().flatMap(({ store }) => (store?.isLeader === true ? [store] : []))
    return stores.sort((left, right) => right.term - left.term)[0]?.peerAddress
  }
}

/** The first outcome that is committed; the last of all when none is. */
async function firstCommitted (tries: Array<Promise<NamingOutcome>>): Promise<NamingOutcome> {
  return await new Promise((resolve, reject) => {
    let openCount = tries.length
    const settle = (outcome: NamingOutcome): void => {
      openCount--
      if (outcome.kind === 'committed' || openCount === 0) resolve(outcome)
    }
    for (const attempt of tries) attempt.then(settle, reject)
  })
}
