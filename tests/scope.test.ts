import test from 'ava'
import { ScopeClosedError } from '../src/utils/errors.js'
import { Scope } from '../src/utils/scope.js'

test('should reject every pending wait of a scope and of its children when it closes', async t => {
  const scope = new Scope('parent')
  const child = scope.child('child')
  const never = new Promise<void>(() => {})
  const waiting = [scope.race(never), child.race(never)]
  scope.close('over')
  for (const wait of waiting) await t.throwsAsync(wait, { instanceOf: ScopeClosedError })
  t.is(child.closeReason, 'over')
})

test('should leave the parent open when a child closes', t => {
  const scope = new Scope('parent')
  scope.child('child').close('done')
  t.false(scope.isClosed)
})
