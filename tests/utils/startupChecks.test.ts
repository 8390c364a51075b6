import test from 'ava'
import { createServer } from 'node:net'
import { systemClock, type Clock } from '../../src/utils/clock.js'
import { SettingsError } from '../../src/utils/errors.js'
import { checkStartupRequirements } from '../../src/utils/startupChecks.js'
import { freePort, loopbackHost } from '../fixtures/loopback.js'

/** A clock that stands still until a test moves it; what waits is called back each time. */
function steppedClock (onWait: (step: (byMs: number) => void) => void): Clock {
  let nowMs = 0
  return {
    ...systemClock,
    nowMs: () => nowMs,
    callAt (_deadlineMs, callback) {
      onWait(byMs => {
        nowMs += byMs
        callback()
      })
      return () => {}
    }
  }
}

// A restart in place whose predecessor still held its port ended with code 2.
test('should start when the predecessor frees its port a moment later', async t => {
  const [host, port] = [loopbackHost(), await freePort()]
  const holder = createServer()
  await new Promise<void>(resolve => holder.listen(port, host, resolve))
  t.teardown(() => { holder.close() })
  let waitsCount = 0
  const clock = steppedClock(step => {
    waitsCount++
    holder.close(() => step(1))
  })
  await t.notThrowsAsync(checkStartupRequirements('host.toml', { addresses: { 'host.peerAddress': `${host}:${port}` }, folders: {} }, clock))
  t.is(waitsCount, 1)
})

test('should name a port that is held for good', async t => {
  const [host, port] = [loopbackHost(), await freePort()]
  const holder = createServer()
  await new Promise<void>(resolve => holder.listen(port, host, resolve))
  t.teardown(() => { holder.close() })
  const clock = steppedClock(step => step(1_000))
  const error = await t.throwsAsync(checkStartupRequirements('host.toml', { addresses: { 'host.peerAddress': `${host}:${port}` }, folders: {} }, clock), { instanceOf: SettingsError })
  t.regex(error.message, /host\.toml: host\.peerAddress: cannot listen there: .*EADDRINUSE/)
})
