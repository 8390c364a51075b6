import test, { type ExecutionContext } from 'ava'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SettingsError } from '../../src/utils/errors.js'
import { Scope } from '../../src/utils/scope.js'
import { SettingsWatch } from '../../src/utils/settingsWatch.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

interface Setup {
  clock: VirtualClock
  file: string
  watch: SettingsWatch<string>
  checked: string[]
  problems: string[]
  usable: number[]
}

function setUp (t: ExecutionContext): Setup {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-watch-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const [clock, file] = [new VirtualClock(), join(folder, 'settings')]
  const [checked, problems, usable]: [string[], string[], number[]] = [[], [], []]
  const check = (text: string): string => {
    checked.push(text)
    if (text.startsWith('wrong')) throw new SettingsError(text)
    return text
  }
  const watch = new SettingsWatch({ path: file, clock, check, onProblem: problem => problems.push(problem), onUsable: lastedMs => usable.push(lastedMs) })
  return { clock, file, watch, checked, problems, usable }
}

// Guards against a log that repeats a problem at each look, or tells one that lasts only once.
test('should tell each problem once, and again every ten seconds while it lasts', async t => {
  const { clock, file, watch, checked, problems, usable } = setUp(t)
  writeFileSync(file, 'wrong 1')
  const next = watch.next(new Scope('test'))
  await clock.advance(5_000)
  t.deepEqual(problems, ['wrong 1'])
  t.deepEqual(checked, ['wrong 1'])
  writeFileSync(file, 'wrong 2')
  await clock.advance(1_000)
  t.deepEqual(problems, ['wrong 1', 'wrong 2'])
  await clock.advance(10_000)
  t.deepEqual(problems, ['wrong 1', 'wrong 2', 'wrong 2'])
  writeFileSync(file, 'right')
  await clock.advance(100)
  t.is(await next, 'right')
  t.is(usable.length, 1)
})

// Guards against settings that are returned twice, or missed when they are changed back.
test('should return settings whenever they differ from those returned last', async t => {
  const { clock, file, watch, usable } = setUp(t)
  const scope = new Scope('test')
  writeFileSync(file, 'a')
  t.is(await watch.next(scope), 'a')
  let changed: string | undefined
  const next = watch.next(scope).then(text => { changed = text })
  await clock.advance(10_000)
  writeFileSync(file, 'wrong')
  await clock.advance(3_000)
  writeFileSync(file, 'a')
  await clock.advance(3_000)
  t.is(changed, undefined)
  t.is(usable.length, 1)
  writeFileSync(file, 'b')
  watch.lookNow()
  await next
  t.is(changed, 'b')
})

// Guards against a wait that outlives the start it belongs to.
test('should end its wait when the scope closes', async t => {
  const { watch } = setUp(t)
  const scope = new Scope('test')
  const next = watch.next(scope)
  scope.close('stopped')
  await t.throwsAsync(next, { message: /stopped/ })
})
