import test from 'ava'
import { WeightNaming, type WeightNamingOptions } from '../../src/control/fleet/weightNaming.js'
import type { SubmitReply } from '../../src/protocol/controlMessages.js'
import { HostRole, type FleetHost } from '../../src/protocol/fleet.js'
import type { PeerLink } from '../../src/transport/peerLink.js'
import type { CallOutcome } from '../../src/transport/rpcPeer.js'
import { sleepUntil } from '../../src/utils/clock.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

/** The tests cover control hosts that are partitioned into two halves while trainers name versions, and a store that changes its leader meanwhile. */
const CALL_TIMEOUT_MS = 850
const WEIGHTS = { model: 'm', version: 4 }

interface World {
  clock: VirtualClock
  /** Addresses of the store hosts that were called, in order. */
  calledAddresses: string[]
  name: () => ReturnType<WeightNaming['name']>
}

interface Script {
  control: { afterMs: number, reply: SubmitReply }
  /** Replies by address; other addresses do not answer. */
  stores?: Record<string, { afterMs: number, reply: unknown }>
  hosts?: FleetHost[]
}

function storeHost (address: string, term: number, isLeader = true): FleetHost {
  const store = { replicaId: address, peerAddress: address, clusterId: 'store', term, isLeader, memberIds: [] }
  return { hostId: address, hostName: address, dataCentre: 'north', role: HostRole.Store, isServing: true, store }
}

function world ({ control, stores = {}, hosts = [storeHost('s1', 3)] }: Script): World {
  const clock = new VirtualClock()
  const calledAddresses: string[] = []
  const linkTo = ({ peerAddress }: { peerAddress: string }) => ({
    call: async (_method: unknown, _body: unknown, progress: Progress): Promise<CallOutcome<unknown>> => {
      calledAddresses.push(peerAddress)
      const answer = stores[peerAddress]
      await sleepUntil(clock, progress.scope, answer ? clock.nowMs() + answer.afterMs : progress.deadlineMs)
      return answer ? { kind: 'replied', body: answer.reply } : { kind: 'lost', reason: 'no answer' }
    }
  }) as unknown as PeerLink
  const options: WeightNamingOptions = {
    leaderCalls: {
      submit: async (_command, progress) => {
        await sleepUntil(clock, progress.scope, clock.nowMs() + control.afterMs)
        return control.reply
      }
    },
    followers: { storeHosts: () => hosts },
    links: { to: linkTo }
  }
  const naming = new WeightNaming(options)
  const name = () => clock.advanceUntil(naming.name(WEIGHTS, new Progress(clock, new Scope('trainer'), clock.nowMs() + CALL_TIMEOUT_MS)))
  return { clock, calledAddresses, name }
}

const committed: SubmitReply = { kind: 'committed', result: null as never }
const noQuorum: SubmitReply = { kind: 'notCommitted', reason: 'no quorum' }

test('should confirm a version that only the store can record, without waiting for control', async t => {
  const { clock, name } = world({ control: { afterMs: 850, reply: noQuorum }, stores: { s1: { afterMs: 5, reply: { kind: 'committed' } } } })
  t.deepEqual(await name(), { kind: 'committed', by: 'store' })
  t.true(clock.nowMs() < 20)
})

test('should confirm a version that only control can record', async t => {
  const { clock, name } = world({ control: { afterMs: 5, reply: committed } })
  t.deepEqual(await name(), { kind: 'committed', by: 'control' })
  t.true(clock.nowMs() < 20)
})

test('should confirm nothing that neither has on a quorum, within the time that the caller waits', async t => {
  const { clock, name } = world({ control: { afterMs: 300, reply: noQuorum }, stores: { s1: { afterMs: 5, reply: { kind: 'unavailable', reason: 'no quorum there' } } } })
  const outcome = await name()
  t.is(outcome.kind, 'unconfirmed')
  t.true(clock.nowMs() <= CALL_TIMEOUT_MS + 1)
})

test('should call only the store leader of the latest term', async t => {
  const hosts = [storeHost('old', 3), storeHost('new', 5), storeHost('follower', 6, false)]
  const { calledAddresses, name } = world({ control: { afterMs: 850, reply: noQuorum }, stores: { new: { afterMs: 5, reply: { kind: 'committed' } } }, hosts })
  t.is((await name()).kind, 'committed')
  t.deepEqual(calledAddresses, ['new'])
})

test('should find a leader of the store that appears during the call', async t => {
  const hosts: FleetHost[] = []
  const { clock, name } = world({ control: { afterMs: 850, reply: noQuorum }, stores: { s2: { afterMs: 5, reply: { kind: 'committed' } } }, hosts })
  clock.callAt(300, () => hosts.push(storeHost('s2', 4)))
  t.deepEqual(await name(), { kind: 'committed', by: 'store' })
  t.true(clock.nowMs() < 400)
})
