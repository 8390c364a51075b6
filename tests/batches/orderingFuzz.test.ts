import test from 'ava'
import { fuzzOrders } from '../fixtures/orderingFuzz.js'

test('should let no two hosts order an engine within the lease in 500 random runs of three store hosts', async t => {
  const { ordersCount, holderChangesCount } = await fuzzOrders(500)
  t.true(ordersCount > 1_000, `${ordersCount} orders`)
  t.true(holderChangesCount > 100, `${holderChangesCount} changes of the ordering host`)
})

test('should let no two hosts order an engine within the lease in 200 random runs in which machines of store hosts are suspended', async t => {
  const { ordersCount, holderChangesCount } = await fuzzOrders(200, true)
  t.true(ordersCount > 400, `${ordersCount} orders`)
  t.true(holderChangesCount > 40, `${holderChangesCount} changes of the ordering host`)
})
