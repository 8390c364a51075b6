/**
 * Creates the rollout components of an entry host and starts their tasks.
 */
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { Progress } from '../../utils/progress.js'
import type { Route } from '../http/route.js'
import { ThroughputMonitor } from './sampleThroughput.js'
import { JobOutlooks } from './jobOutlooks.js'
import { LedgerClient } from './ledgerClient.js'
import { PullServer } from './pullServer.js'
import { notifyGroupComplete, notifySlotsWaiting } from './rolloutMethods.js'
import type { RolloutContext } from './rolloutContext.js'
import { SampleReplication } from './sampleReplication.js'
import { SampleScorer } from './sampleScorer.js'
import { SampleStore } from './sampleStore.js'
import { SlotLeaser } from './slotLeaser.js'
import { TrainerRoutes } from './trainerRoutes.js'
import { WeightDistribution } from './weights/weightDistribution.js'

const NOTIFY_TIMEOUT_MS = 2_000

export type { RolloutContext }

export interface Rollouts {
  /** HTTP routes for trainers. */
  readonly routes: Route[]
  /** Starts leasing slots, running samples and distributing weights. */
  start (supervisor: Supervisor): void
}

export function createRollouts (context: RolloutContext): Rollouts {
  const ledger = new LedgerClient(context.control, context.random)
  const store = new SampleStore(context.clock)
  const replication = new SampleReplication(context, ledger, store)
  const outlooks = new JobOutlooks()
  const notifier = new SlotsNotifier(context)
  const pulls = new PullServer({ context, ledger, replication, onSlotsWaiting: job => wakeAll(job) })
  const scorer = new SampleScorer(context)
  let tasks: Supervisor | undefined
  const leaser = new SlotLeaser({
    context,
    ledger,
    store,
    replication,
    scorer,
    outlooks,
    throughputMonitor: new ThroughputMonitor(context),
    spawn: (name, task) => tasks?.spawn(name, task),
    onGroupComplete: job => pulls.wake(job)
  })
  const weights = new WeightDistribution(context, outlooks)
  const routes = new TrainerRoutes({ context, ledger, pulls, onWeightsPublished: job => wakeAll(job) })
  const wakeAll = (job: string): void => {
    leaser.wake()
    notifier.notify(job)
  }
  outlooks.onChange(() => weights.wake())
  serveNotifications(context, leaser, pulls)
  return {
    routes: routes.routes(),
    start (supervisor) {
      const rolloutSupervisor = supervisor.child('rollouts')
      tasks = rolloutSupervisor
      notifier.start(rolloutSupervisor)
      rolloutSupervisor.spawn('slots', async scope => await leaser.run(scope, rolloutSupervisor))
      rolloutSupervisor.spawn('weights', async scope => await weights.run(scope, rolloutSupervisor))
      rolloutSupervisor.spawn('endpoints', async scope => await watchEndpoints(context, scope, () => {
        leaser.wake()
        weights.wake()
      }))
    }
  }
}

function serveNotifications ({ peers }: RolloutContext, leaser: SlotLeaser, pulls: PullServer): void {
  peers.handlers.on(notifyGroupComplete, ({ job }) => {
    pulls.wake(job)
    return { ok: true }
  })
  peers.handlers.on(notifySlotsWaiting, () => {
    leaser.wake()
    return { ok: true }
  })
}

async function watchEndpoints ({ directory }: RolloutContext, scope: Scope, onChange: () => void): Promise<void> {
  const knownIdentities = new Map<string, string>()
  await scope.race(directory.changes.forEach(change => {
    if (change.kind === 'removed') {
      knownIdentities.delete(change.endpointId)
      return onChange()
    }
    // The load changes continuously; only changes of identity and weights are relevant here.
    const { endpointId, incarnation, weightVersion, adapters, leaving } = change.record.announcement
    const identity = JSON.stringify([incarnation, weightVersion, adapters, leaving])
    if (knownIdentities.get(endpointId) === identity) return
    knownIdentities.set(endpointId, identity)
    onChange()
  }))
}

/** Notifies the other hosts that slots may be waiting. A lost notification delays those slots by one renewal interval. */
class SlotsNotifier {
  private readonly _context: RolloutContext
  private _supervisor: Supervisor | undefined

  constructor (context: RolloutContext) {
    this._context = context
  }

  start (supervisor: Supervisor): void {
    this._supervisor = supervisor
  }

  notify (job: string): void {
    const { peers, clock } = this._context
    for (const hostId of peers.connectedHostIds()) {
      this._supervisor?.spawn(`notification of ${hostId}`, async scope => {
        await peers.call(hostId, notifySlotsWaiting, { job }, new Progress(clock, scope, clock.nowMs() + NOTIFY_TIMEOUT_MS))
      })
    }
  }
}
