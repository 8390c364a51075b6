import test from 'ava'
import { waitFor } from '../../demo/waitFor.js'
import { ProcessSystem } from '../fixtures/processSystem.js'

const DRAINED = 0
const ROUNDS_COUNT = 8

/** Sends one completion through every entry host concurrently. */
async function sendRound (system: ProcessSystem): Promise<void> {
  const streams = system.local.entryAddresses.map(async host => await system.openStream(host, 'Kaart', 4).read)
  for (const { isWhole } of await Promise.all(streams)) {
    if (!isWhole) throw new Error('a stream ended incomplete')
  }
}

test('should send nothing to a drained endpoint, and stop a drained host without interrupting a stream', async t => {
  const system = await ProcessSystem.start(t, { engine: { maxConcurrentCount: 4 } })
  const requestsAtDrained = (): number => system.recordOfEngine(DRAINED).length
  await waitFor('the engine to have worked', async () => {
    await sendRound(system)
    return requestsAtDrained() > 0
  })
  t.regex(await system.command(['drain', '--endpoint', 'engine-1']), /endpoint engine-1 at entry-\d: draining/)
  await system.waitUntilLeaving('engine-1')
  const before = requestsAtDrained()
  for (let round = 0; round < ROUNDS_COUNT; round++) await sendRound(system)
  t.is(requestsAtDrained(), before)

  const stream = system.openStream(system.local.entryAddresses[2]!, 'Kaart', 100)
  await stream.started
  await system.command(['drain', 'entry-3'])
  t.true((await stream.read).isWhole)
  t.like(await system.entries[2]!.ended, { code: 0 })
  t.notRegex(await system.command(['status']), /entry-3/)
})
