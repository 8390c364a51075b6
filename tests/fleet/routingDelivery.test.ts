import test from 'ava'
import { pusherOf, RoutingDelivery } from '../../src/control/fleet/routingPush.js'

const MEMBERS = ['10.1.0.1:1', '10.2.0.1:1', '10.3.0.1:1', '10.4.0.1:1']
const FOLLOWERS = Array.from({ length: 89 }, (_, number) => `10.0.0.${number}`)

test('should distribute 89 followers over four control hosts, and move only those of a removed one', t => {
  const before = FOLLOWERS.map(follower => pusherOf(follower, MEMBERS))
  for (const member of MEMBERS) {
    const count = before.filter(pusher => pusher === member).length
    t.true(count >= 10 && count <= 40, `${member} pushes to ${count}`)
  }
  const [, ...remaining] = MEMBERS
  const after = FOLLOWERS.map(follower => pusherOf(follower, remaining))
  t.true(before.every((pusher, index) => pusher === MEMBERS[0] || pusher === after[index]))
  t.is(pusherOf('10.0.0.1', []), undefined)
})

test('should send a configuration to a new connection at once, and to one that lacks it two calls later', t => {
  const delivery = new RoutingDelivery()
  t.true(delivery.recordCall(1, 2), 'the first call of a connection')
  t.false(delivery.recordCall(2, 3), 'it has just changed')
  t.false(delivery.recordCall(2, 3), 'it may still be on its way')
  t.true(delivery.recordCall(2, 3))
  t.false(delivery.recordPush(3), 'the reply has brought it')
  t.true(delivery.recordPush(4))
})

// On a link that was short of room, each call of a follower got another copy of a configuration that was in transit.
test('should not send a pushed configuration again over the connection that carries it', t => {
  const delivery = new RoutingDelivery(true)
  t.true(delivery.recordCall(undefined, 2), 'the first call of a connection')
  t.false(delivery.recordCall(undefined, 2))
  t.false(delivery.recordCall(undefined, 2))
  t.true(delivery.recordPush(3))
  for (let call = 0; call < 3; call++) t.false(delivery.recordCall(2, 3))
})

// Each follower that connected again got a copy of the version that it had.
test('should not push a version that the follower has said to have', t => {
  const delivery = new RoutingDelivery(true)
  t.false(delivery.recordCall(3, 3))
  t.false(delivery.recordPush(3))
  t.true(delivery.recordPush(4))
})
