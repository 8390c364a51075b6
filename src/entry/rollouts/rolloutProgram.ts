/**
 * The rollout side of an entry host: wires the parts and starts their tasks.
 */
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { Progress } from '../../utils/progress.js'
import type { Route } from '../http/route.js'
import { EnginePaces } from './enginePaces.js'
import { JobOutlooks } from './jobOutlooks.js'
import { LedgerClient } from './ledgerClient.js'
import { PullServer } from './pullServer.js'
import { groupIsWhole, slotsAreWaiting } from './rolloutMethods.js'
import type { RolloutParts } from './rolloutParts.js'
import { SampleReplication } from './sampleReplication.js'
import { SampleScorer } from './sampleScorer.js'
import { SampleStore } from './sampleStore.js'
import { SlotLeaser } from './slotLeaser.js'
import { TrainerRoutes } from './trainerRoutes.js'
import { WeightDistribution } from './weights/weightDistribution.js'

const HINT_TIMEOUT_MS = 2_000

export type { RolloutParts }

export interface Rollouts {
  /** What trainers call. */
  readonly routes: Route[]
  /** Starts leasing slots, running samples and distributing weights. */
  start (supervisor: Supervisor): void
}

export function createRollouts (parts: RolloutParts): Rollouts {
  const ledger = new LedgerClient(parts.control, parts.random)
  const store = new SampleStore(parts.clock)
  const replication = new SampleReplication(parts, ledger, store)
  const outlooks = new JobOutlooks()
  const hints = new HintSender(parts)
  const pulls = new PullServer({ parts, ledger, replication, onSlotsWaiting: job => wakeAll(job) })
  const scorer = new SampleScorer(parts)
  let tasks: Supervisor | undefined
  const leaser = new SlotLeaser({
    parts,
    ledger,
    store,
    replication,
    scorer,
    outlooks,
    paces: new EnginePaces(parts),
    spawn: (name, task) => tasks?.spawn(name, task),
    onGroupWhole: job => pulls.wake(job)
  })
  const weights = new WeightDistribution(parts, outlooks)
  const routes = new TrainerRoutes({ parts, ledger, pulls, onWeightsPublished: job => wakeAll(job) })
  const wakeAll = (job: string): void => {
    leaser.wake()
    hints.send(job)
  }
  outlooks.onChange(() => weights.wake())
  serveHints(parts, leaser, pulls)
  return {
    routes: routes.routes(),
    start (supervisor) {
      const child = supervisor.child('rollouts')
      tasks = child
      hints.start(child)
      child.spawn('slots', async scope => await leaser.run(scope, child))
      child.spawn('weights', async scope => await weights.run(scope, child))
      child.spawn('endpoints', async scope => await watchEndpoints(parts, scope, () => {
        leaser.wake()
        weights.wake()
      }))
    }
  }
}

function serveHints ({ peers }: RolloutParts, leaser: SlotLeaser, pulls: PullServer): void {
  peers.handlers.on(groupIsWhole, ({ job }) => {
    pulls.wake(job)
    return { ok: true }
  })
  peers.handlers.on(slotsAreWaiting, () => {
    leaser.wake()
    return { ok: true }
  })
}

async function watchEndpoints ({ directory }: RolloutParts, scope: Scope, onChange: () => void): Promise<void> {
  const known = new Map<string, string>()
  await scope.race(directory.changes.forEach(change => {
    if (change.kind === 'removed') {
      known.delete(change.endpointId)
      return onChange()
    }
    // Load changes all the time; only what an engine is and has matters here.
    const { endpointId, incarnation, weightVersion, adapters, leaving } = change.record.announcement
    const identity = JSON.stringify([incarnation, weightVersion, adapters, leaving])
    if (known.get(endpointId) === identity) return
    known.set(endpointId, identity)
    onChange()
  }))
}

/** Tells the other hosts that slots may be waiting; a lost hint costs one renewal interval. */
class HintSender {
  private readonly _parts: RolloutParts
  private _supervisor: Supervisor | undefined

  constructor (parts: RolloutParts) {
    this._parts = parts
  }

  start (supervisor: Supervisor): void {
    this._supervisor = supervisor
  }

  send (job: string): void {
    const { peers, clock } = this._parts
    for (const hostId of peers.connectedHostIds()) {
      this._supervisor?.spawn(`hint to ${hostId}`, async scope => {
        await peers.call(hostId, slotsAreWaiting, { job }, new Progress(clock, scope, clock.nowMs() + HINT_TIMEOUT_MS))
      })
    }
  }
}
