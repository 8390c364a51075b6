/**
 * Decides which pools this host coordinates, and runs their coordinators.
 *
 * All hosts compute the same ranking of hosts for a pool; the first connected
 * host acquires the pool's fence. By the fencing number, engines accept orders of
 * that host and refuse orders of the previous coordinator. Where engines ignore fencing numbers,
 * the new coordinator first waits until no order of the previous one can be in flight.
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
import type { RolloutContext } from '../rolloutContext.js'
import { WakeSignal } from '../wakeSignal.js'
import { ORDER_LIFETIME_MS, PoolCoordinator } from './poolCoordinator.js'
import { targetsOf } from './weightTargets.js'

const CHECK_INTERVAL_MS = 1_000
const FENCE_TIMEOUT_MS = 5_000
/** A disconnected host sends no orders after its configuration lease, which is shorter than this, has expired. */
const PREDECESSOR_STOP_TIMEOUT_MS = 15_000

/** Requests the previous coordinator to stop; the reply has the time until that coordinator's last order expires. */
const standDown = rpcMethod('rollouts.standDown', z.object({ pool: z.string(), fencingNumber: z.int() }), z.object({ lastOrderRemainingMs: z.number() }))

export class WeightDistribution {
  private readonly _context: RolloutContext
  private readonly _outlooks: JobOutlooks
  private readonly _coordinators = new Map<string, PoolCoordinator>()
  private readonly _activePools = new Set<string>()
  private readonly _signal = new WakeSignal()

  constructor (context: RolloutContext, outlooks: JobOutlooks) {
    this._context = context
    this._outlooks = outlooks
    context.peers.handlers.on(standDown, ({ pool }) => ({ lastOrderRemainingMs: this._coordinators.get(pool)?.standDown() ?? 0 }))
  }

  /** Must be called when a version was published or an engine has changed. */
  wake (): void {
    this._signal.wake()
    for (const coordinator of this._coordinators.values()) coordinator.wake()
  }

  async run (scope: Scope, supervisor: Supervisor): Promise<void> {
    const { clock } = this._context
    for (;;) {
      for (const pool of this._pools()) {
        if (this._mayOrder(pool) && !this._activePools.has(pool)) this._start(pool, supervisor)
      }
      await this._signal.wait(clock, scope, clock.nowMs() + CHECK_INTERVAL_MS)
    }
  }

  /** Pools whose jobs have published weights. */
  private _pools (): string[] {
    const jobs = this._context.control.configuration.list(ResourceKind.RolloutJob)
    const pools = new Set(jobs.map(({ spec }) => spec.pool))
    return [...pools].filter(pool => this._targets(pool).length > 0)
  }

  private _targets (pool: string) {
    return targetsOf(pool, this._context.control.configuration.list(ResourceKind.RolloutJob), job => this._outlooks.get(job))
  }

  private _mayOrder (pool: string): boolean {
    const { control, peers, hostId } = this._context
    return control.holdsLease() && rankHosts(`weights/${pool}`, [hostId, ...peers.connectedHostIds()])[0] === hostId
  }

  private _start (pool: string, supervisor: Supervisor): void {
    this._activePools.add(pool)
    const scope = supervisor.spawn(`weights of ${pool}`, async scope => await this._coordinate(pool, scope))
    scope.onClose(() => {
      this._activePools.delete(pool)
      this._coordinators.delete(pool)
    })
  }

  private async _coordinate (pool: string, scope: Scope): Promise<void> {
    const { clock, control, hostId, logger } = this._context
    const progress = new Progress(clock, scope, clock.nowMs() + FENCE_TIMEOUT_MS)
    const outcome = await control.submit({ kind: HostCommandKind.AcquireFence, fenceScope: `weights/${pool}`, holder: hostId }, progress)
    if (outcome.kind !== 'committed' || outcome.result.kind !== 'fenced') return await this._pause(scope)
    const { fencingNumber, previousHolder } = outcome.result
    logger.event(RolloutEvent.CoordinatorStarted, { pool, fencingNumber })
    await this._waitForPredecessorOrders(pool, fencingNumber, previousHolder, scope)
    const spec = () => control.configuration.get(ResourceKind.EndpointPool, pool)?.spec
    const coordinator = new PoolCoordinator({
      context: this._context, pool, fencingNumber, spec, targets: () => this._targets(pool), mayOrder: () => this._mayOrder(pool)
    })
    this._coordinators.set(pool, coordinator)
    await coordinator.run(scope)
    await this._pause(scope)
  }

  private async _waitForPredecessorOrders (pool: string, fencingNumber: number, previousHolder: string | undefined, scope: Scope): Promise<void> {
    const { clock, control, hostId, logger, peers } = this._context
    const fencing = control.configuration.get(ResourceKind.EndpointPool, pool)?.spec.fencing
    if (previousHolder === undefined || fencing === FencingSupport.Enforced) return
    let waitMs = ORDER_LIFETIME_MS + (previousHolder === hostId ? 0 : PREDECESSOR_STOP_TIMEOUT_MS)
    if (previousHolder !== hostId) {
      const answer = await peers.call(previousHolder, standDown, { pool, fencingNumber }, new Progress(clock, scope, clock.nowMs() + FENCE_TIMEOUT_MS))
      if (answer.kind === 'replied') waitMs = answer.body.lastOrderRemainingMs
    }
    logger.event(RolloutEvent.CoordinatorWaiting, { pool, previousHolder, waitMs })
    await sleepUntil(clock, scope, clock.nowMs() + waitMs)
  }

  /** Waits before the next attempt to become coordinator. */
  private async _pause (scope: Scope): Promise<void> {
    await sleepUntil(this._context.clock, scope, this._context.clock.nowMs() + CHECK_INTERVAL_MS)
  }
}
