import test from 'ava'
import { createServer } from 'node:net'
import { HostGroup } from '../../bench/fleetSoak/faultPlan.js'
import { SoakHost } from '../../bench/fleetSoak/soakFleet.js'
import type { Disturbance } from '../../bench/fleetSoak/soakRecord.js'
import { SERVES_WITHIN_MS, StartWatch } from '../../bench/fleetSoak/startWatch.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'

/** The listeners of one host that have not served when it had to. */
async function silentListeners (address: string, disturbances: Disturbance[]): Promise<string[]> {
  const host = new SoakHost('entry-1', loopbackHost(), HostGroup.Entry, 'north')
  let nowMs = 0
  const watch = new StartWatch({ hosts: [host], listenersOf: () => [address] }, disturbances, () => nowMs)
  nowMs = SERVES_WITHIN_MS
  return await watch.run(Promise.resolve())
}

test('should find a listener that does not serve in time after the start', async t => {
  const address = `${loopbackHost()}:${await freePort()}`
  t.deepEqual(await silentListeners(address, []), [`entry-1 (edge) at ${address}`])
})

test('should find no listener that serves', async t => {
  const [host, port] = [loopbackHost(), await freePort()]
  const server = createServer(socket => socket.destroy())
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  t.teardown(() => server.close())
  t.deepEqual(await silentListeners(`${host}:${port}`, []), [])
})

test('should give a program time after the last fault of its host', async t => {
  const address = `${loopbackHost()}:${await freePort()}`
  const fault: Disturbance = { kind: 'kill', target: 'entry-1', targetIps: [loopbackHost()], hitsControl: false, fromMs: 0, untilMs: 1 }
  t.deepEqual(await silentListeners(address, [fault]), [])
  t.is((await silentListeners(address, [{ ...fault, targetIps: ['127.0.0.9'] }])).length, 1)
})
