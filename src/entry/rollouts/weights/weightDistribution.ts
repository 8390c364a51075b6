/**
 * Decides which pools this host gives orders to, and runs their coordinators.
 *
 * All hosts rank themselves for a pool in the same way; the first that is
 * connected takes the pool's fence. A fencing number makes its orders count
 * and its predecessor's void. Where engines ignore the number, the successor
 * first waits until no order of its predecessor can be under way.
 */
import { HostCommandKind } from '../../../protocol/hostCommands.js'
import { FencingSupport, ResourceKind } from '../../../protocol/resources.js'
import { z } from 'zod'
import { rpcMethod } from '../../../transport/rpcPeer.js'
import { sleepUntil } from '../../../utils/clock.js'
import { Progress } from '../../../utils/progress.js'
import type { Scope } from '../../../utils/scope.js'
import type { Supervisor } from '../../../utils/supervisor.js'
import { rankHosts } from '../hostRanking.js'
import type { JobOutlooks } from '../jobOutlooks.js'
import { RolloutEvent } from '../rolloutEvents.js'
import type { RolloutParts } from '../rolloutParts.js'
import { WakeSignal } from '../wakeSignal.js'
import { ORDER_LIFETIME_MS, PoolCoordinator } from './poolCoordinator.js'
import { targetsOf } from './weightTargets.js'

const CHECK_INTERVAL_MS = 1_000
const FENCE_TIMEOUT_MS = 5_000
/** A host that is cut off gives no orders after its configuration lease, which is shorter. */
const PREDECESSOR_STOPS_MS = 15_000

/** The successor asks its predecessor to stop; the answer is when its last order ends. */
const standDown = rpcMethod('rollouts.standDown', z.object({ pool: z.string(), fencingNumber: z.int() }), z.object({ lastOrderRemainingMs: z.number() }))

export class WeightDistribution {
  private readonly _parts: RolloutParts
  private readonly _outlooks: JobOutlooks
  private readonly _coordinators = new Map<string, PoolCoordinator>()
  private readonly _starting = new Set<string>()
  private readonly _signal = new WakeSignal()

  constructor (parts: RolloutParts, outlooks: JobOutlooks) {
    this._parts = parts
    this._outlooks = outlooks
    parts.peers.handlers.on(standDown, ({ pool }) => ({ lastOrderRemainingMs: this._coordinators.get(pool)?.standDown() ?? 0 }))
  }

  /** A version was published, or an engine changed. */
  wake (): void {
    this._signal.wake()
    for (const coordinator of this._coordinators.values()) coordinator.wake()
  }

  async run (scope: Scope, supervisor: Supervisor): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      for (const pool of this._pools()) {
        if (this._mayOrder(pool) && !this._starting.has(pool)) this._start(pool, supervisor)
      }
      await this._signal.wait(clock, scope, clock.nowMs() + CHECK_INTERVAL_MS)
    }
  }

  /** Pools whose jobs have published weights. */
  private _pools (): string[] {
    const jobs = this._parts.control.configuration.list(ResourceKind.RolloutJob)
    const pools = new Set(jobs.map(({ spec }) => spec.pool))
    return [...pools].filter(pool => this._targets(pool).length > 0)
  }

  private _targets (pool: string) {
    return targetsOf(pool, this._parts.control.configuration.list(ResourceKind.RolloutJob), job => this._outlooks.get(job))
  }

  private _mayOrder (pool: string): boolean {
    const { control, peers, hostId } = this._parts
    return control.holdsLease() && rankHosts(`weights/${pool}`, [hostId, ...peers.connectedHostIds()])[0] === hostId
  }

  private _start (pool: string, supervisor: Supervisor): void {
    this._starting.add(pool)
    const scope = supervisor.spawn(`weights of ${pool}`, async scope => await this._coordinate(pool, scope))
    scope.onClose(() => {
      this._starting.delete(pool)
      this._coordinators.delete(pool)
    })
  }

  private async _coordinate (pool: string, scope: Scope): Promise<void> {
    const { clock, control, hostId, logger } = this._parts
    const progress = new Progress(clock, scope, clock.nowMs() + FENCE_TIMEOUT_MS)
    const outcome = await control.submit({ kind: HostCommandKind.AcquireFence, fenceScope: `weights/${pool}`, holder: hostId }, progress)
    if (outcome.kind !== 'committed' || outcome.result.kind !== 'fenced') return await this._pause(scope)
    const { fencingNumber, previousHolder } = outcome.result
    logger.event(RolloutEvent.CoordinatorStarted, { pool, fencingNumber })
    await this._waitOutPredecessor(pool, fencingNumber, previousHolder, scope)
    const spec = () => control.configuration.get(ResourceKind.EndpointPool, pool)?.spec
    const coordinator = new PoolCoordinator({
      parts: this._parts, pool, fencingNumber, spec, targets: () => this._targets(pool), mayOrder: () => this._mayOrder(pool)
    })
    this._coordinators.set(pool, coordinator)
    await coordinator.run(scope)
    await this._pause(scope)
  }

  private async _waitOutPredecessor (pool: string, fencingNumber: number, previousHolder: string | undefined, scope: Scope): Promise<void> {
    const { clock, control, hostId, logger, peers } = this._parts
    const fencing = control.configuration.get(ResourceKind.EndpointPool, pool)?.spec.fencing
    if (previousHolder === undefined || fencing === FencingSupport.Enforced) return
    let waitMs = ORDER_LIFETIME_MS + (previousHolder === hostId ? 0 : PREDECESSOR_STOPS_MS)
    if (previousHolder !== hostId) {
      const answer = await peers.call(previousHolder, standDown, { pool, fencingNumber }, new Progress(clock, scope, clock.nowMs() + FENCE_TIMEOUT_MS))
      if (answer.kind === 'replied') waitMs = answer.body.lastOrderRemainingMs
    }
    logger.event(RolloutEvent.CoordinatorWaits, { pool, previousHolder, waitMs })
    await sleepUntil(clock, scope, clock.nowMs() + waitMs)
  }

  /** Before the next try to become coordinator. */
  private async _pause (scope: Scope): Promise<void> {
    await sleepUntil(this._parts.clock, scope, this._parts.clock.nowMs() + CHECK_INTERVAL_MS)
  }
}
