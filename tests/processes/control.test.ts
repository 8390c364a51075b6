import test from 'ava'
import { ProcessSystem } from '../fixtures/processSystem.js'

/** Applies changes and records which were accepted. */
class Operator {
  readonly accepted: string[] = []
  private readonly _system: ProcessSystem

  constructor (system: ProcessSystem) {
    this._system = system
  }

  async apply (name: string): Promise<void> {
    const file = this._system.writeResources(`${name}.json`, [{ kind: 'PriorityClass', name, spec: { paidWeight: 1 } }])
    await this._system.command(['apply', file])
    this.accepted.push(name)
  }

  async listed (): Promise<string[]> {
    const { resources } = JSON.parse(await this._system.command(['get', 'PriorityClass', '--json'])) as { resources: Array<{ name: string }> }
    return resources.map(({ name }) => name)
  }
}

test('should lose no accepted change when leaders are killed, frozen and wiped', async t => {
  const system = await ProcessSystem.start(t, { enginesCount: 1 })
  const operator = new Operator(system)
  await operator.apply('first')

  const killed = await system.leaderIndex()
  await system.controls[killed]!.stop('SIGKILL')
  await operator.apply('after-kill')
  system.controls[killed] = system.local.startControl(killed)

  const frozen = await system.leaderIndex()
  system.controls[frozen]!.signal('SIGSTOP')
  await operator.apply('while-frozen')
  system.controls[frozen]!.signal('SIGCONT')
  await operator.apply('after-thaw')

  const wiped = await system.leaderIndex()
  await system.controls[wiped]!.stop('SIGKILL')
  system.local.wipeDataFolder(wiped)
  system.controls[wiped] = system.local.startControl(wiped)
  await operator.apply('after-wipe')

  const listed = await operator.listed()
  for (const name of operator.accepted) t.true(listed.includes(name), name)
  await system.command(['apply', '--wait', system.writeResources('last.json', [{ kind: 'PriorityClass', name: 'last', spec: { paidWeight: 1 } }])])
})
