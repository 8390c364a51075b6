import test from 'ava'
import fc from 'fast-check'
import { RolloutWorld } from '../fixtures/rollouts/rolloutWorld.js'
import { SwapFault } from '../fixtures/rollouts/virtualEngine.js'
import { VirtualTrainer } from '../fixtures/rollouts/virtualTrainer.js'

const JOB = 'hints'
const STEPS_COUNT = 4
const SAMPLES_COUNT = 12
const RUNS_COUNT = 40

type Fault =
  | { kind: 'killHost' | 'cutHost' | 'strayPull', host: number }
  | { kind: 'crashEngine' | 'slowEngine', engine: number, forMs: number }
  | { kind: 'swapFault', engine: number, fault: SwapFault }
  | { kind: 'controlDown', forMs: number }
  | { kind: 'lostAnswers', part: number }
  | { kind: 'heal' | 'newSession' }

const host = fc.integer({ min: 1, max: 3 })
const engine = fc.integer({ min: 1, max: 3 })
const forMs = fc.integer({ min: 100, max: 25_000 })

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({ kind: fc.constantFrom('killHost' as const, 'cutHost' as const, 'strayPull' as const), host }),
  fc.record({ kind: fc.constantFrom('crashEngine' as const, 'slowEngine' as const), engine, forMs }),
  fc.record({ kind: fc.constant('swapFault' as const), engine, fault: fc.constantFrom(...Object.values(SwapFault)) }),
  fc.record({ kind: fc.constant('controlDown' as const), forMs }),
  fc.record({ kind: fc.constant('lostAnswers' as const), part: fc.double({ min: 0, max: 0.5, noNaN: true }) }),
  fc.record({ kind: fc.constantFrom('heal' as const, 'newSession' as const) })
)

const timedFaults = fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 6_000 }), fault }), { minLength: 1, maxLength: 14 })

class FaultyRun {
  readonly world: RolloutWorld
  readonly trainer: VirtualTrainer

  constructor (seed: number, startAheadSteps: number, stalenessBoundVersions: number) {
    this.world = new RolloutWorld({ seed, pool: { maxFetchingCount: 2 }, drawLength: (_prompt, random) => random.int(1, 10) === 1 ? 700 : random.int(10, 150) })
    this.world.declareJob(JOB, { groupSizeCount: 3, groupsPerStepCount: 4, startAheadSteps, stalenessBoundVersions, stalenessWeight: 0 })
    this.trainer = new VirtualTrainer(this.world, { job: JOB, samplesPerStepCount: SAMPLES_COUNT, groupSizeCount: 3, stalenessBoundVersions, trainMs: 1_500, waitMs: 3_000 })
  }

  async run (faults: Array<{ afterMs: number, fault: Fault }>): Promise<void> {
    const done = this.trainer.run(0, STEPS_COUNT)
    done.catch(() => {})
    for (const { afterMs, fault } of faults) {
      await this.world.clock.advance(afterMs)
      this._inject(fault)
    }
    await this.world.clock.advance(1_000)
    this._heal()
    await this.world.clock.advanceUntil(done, 1_800_000)
  }

  private _inject (fault: Fault): void {
    const { world, trainer } = this
    const { clock } = world
    switch (fault.kind) {
      case 'killHost': {
        const hostId = `h${fault.host}`
        world.killHost(hostId)
        world.startHost(hostId)
        return
      }
      case 'cutHost': return world.peers.partition(`h${fault.host}`)
      case 'strayPull': {
        const stray = trainer.call(`h${fault.host}`, 'pull', trainer.pullBody(trainer.steps.length, 1_000))
        stray.catch(() => {})
        return
      }
      case 'crashEngine': return this._crash(`e${fault.engine}`, fault.forMs)
      case 'slowEngine': return this._slow(`e${fault.engine}`, fault.forMs)
      case 'swapFault':
        world.engines.get(`e${fault.engine}`)?.swapFaults.push(fault.fault)
        return
      case 'controlDown':
        world.controlDownUntilMs = clock.nowMs() + fault.forMs
        return
      case 'lostAnswers':
        world.lostReplyFraction = fault.part
        return
      case 'newSession': {
        // Simulates a restart of the trainer, which restores the samples that it holds from its checkpoint.
        const stray = trainer.reopen()
        stray.catch(() => {})
        return
      }
      case 'heal': return this._heal()
    }
  }

  private _crash (engineId: string, forMs: number): void {
    const engine = this.world.engines.get(engineId)
    if (!engine?.isUp) return
    engine.crash()
    this.world.clock.callAt(this.world.clock.nowMs() + forMs, () => engine.start(0))
  }

  private _slow (engineId: string, forMs: number): void {
    const engine = this.world.engines.get(engineId)
    if (!engine) return
    engine.slowFactor = 8
    this.world.clock.callAt(this.world.clock.nowMs() + forMs, () => { engine.slowFactor = 1 })
  }

  private _heal (): void {
    this.world.peers.heal()
    this.world.lostReplyFraction = 0
    this.world.controlDownUntilMs = 0
  }
}

test('should deliver each position once, within the staleness bound and with correct versions, under any sequence of faults', async t => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1_000_000 }), fc.integer({ min: 0, max: 1 }), fc.integer({ min: 0, max: 2 }), timedFaults,
    async (seed, startAheadSteps, stalenessBound, faults) => {
      const run = new FaultyRun(seed, startAheadSteps, stalenessBound)
      try {
        await run.run(faults)
        const positions = run.trainer.samples.map(({ position }) => position)
        const expected = Array.from({ length: STEPS_COUNT * SAMPLES_COUNT }, (_, at) => at + 1)
        return run.trainer.violations.length === 0 && run.world.fatal.length === 0 && positions.join() === expected.join()
      } finally {
        run.world.stop()
      }
    })
  const details = await fc.check(property, { numRuns: RUNS_COUNT, seed: 20261202 })
  t.false(details.failed, fc.defaultReportMessage(details))
})
