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

/** The fault that these tests stand for: control hosts split in two halves while trainers name versions, and a store that changes its leader meanwhile. */
const PATIENCE_MS = 850
const WEIGHTS = { model: 'm', version: 4 }

interface World {
  clock: VirtualClock
  /** Addresses at which the store was asked. */
  asked: string[]
  name: () => ReturnType<WeightNaming['name']>
}

interface Script {
  control: { afterMs: number, reply: SubmitReply }
  /** By address; an address that is not here does not answer. */
  stores?: Record<string, { afterMs: number, reply: unknown }>
  hosts?: FleetHost[]
}

function storeHost (address: string, term: number, isLeader = true): FleetHost {
  const store = { replicaId: address, peerAddress: address, clusterId: 'store', term, isLeader, memberIds: [] }
  return { hostId: address, hostName: address, dataCentre: 'north', role: HostRole.Store, isServing: true, store }
}

function world ({ control, stores = {}, hosts = [storeHost('s1', 3)] }: Script): World {
  const clock = new VirtualClock()
  const asked: string[] = []
  const linkTo = ({ peerAddress }: { peerAddress: string }) => ({
    call: async (_method: unknown, _body: unknown, progress: Progress): Promise<CallOutcome<unknown>> => {
      asked.push(peerAddress)
      const answer = stores[peerAddress]
      await sleepUntil(clock, progress.scope, answer ? clock.nowMs() + answer.afterMs : progress.deadlineMs)
      return answer ? { kind: 'replied', body: answer.reply } : { kind: 'lost', reason: 'no answer' }
    }
  }) as unknown as PeerLink
  const parts: WeightNamingOptions = {
    leaderCalls: {
      submit: async (_command, progress) => {
        await sleepUntil(clock, progress.scope, clock.nowMs() + control.afterMs)
        return control.reply
      }
    },
    followers: { storeHosts: () => hosts },
    links: { to: linkTo }
  }
  const naming = new WeightNaming(parts)
  const name = () => clock.advanceUntil(naming.name(WEIGHTS, new Progress(clock, new Scope('trainer'), clock.nowMs() + PATIENCE_MS)))
  return { clock, asked, name }
}

const committed: SubmitReply = { kind: 'committed', result: null as never }
const noQuorum: SubmitReply = { kind: 'notCommitted', reason: 'no quorum' }

test('should confirm a version that only the store can note, without waiting for control', async t => {
  const { clock, name } = world({ control: { afterMs: 850, reply: noQuorum }, stores: { s1: { afterMs: 5, reply: { kind: 'committed' } } } })
  t.deepEqual(await name(), { kind: 'committed', by: 'store' })
  t.true(clock.nowMs() < 20)
})

test('should confirm a version that only control can note', async t => {
  const { clock, name } = world({ control: { afterMs: 5, reply: committed } })
  t.deepEqual(await name(), { kind: 'committed', by: 'control' })
  t.true(clock.nowMs() < 20)
})

test('should confirm nothing that neither has on a quorum, within the time that the caller waits', async t => {
  const { clock, name } = world({ control: { afterMs: 300, reply: noQuorum }, stores: { s1: { afterMs: 5, reply: { kind: 'unavailable', reason: 'no quorum there' } } } })
  const outcome = await name()
  t.is(outcome.kind, 'unconfirmed')
  t.true(clock.nowMs() <= PATIENCE_MS + 1)
})

test('should ask the leader of the latest term, and no host that does not lead', async t => {
  const hosts = [storeHost('old', 3), storeHost('new', 5), storeHost('follower', 6, false)]
  const { asked, name } = world({ control: { afterMs: 850, reply: noQuorum }, stores: { new: { afterMs: 5, reply: { kind: 'committed' } } }, hosts })
  t.is((await name()).kind, 'committed')
  t.deepEqual(asked, ['new'])
})

test('should find the leader of the store that comes while it asks', async t => {
  const hosts: FleetHost[] = []
  const { clock, name } = world({ control: { afterMs: 850, reply: noQuorum }, stores: { s2: { afterMs: 5, reply: { kind: 'committed' } } }, hosts })
  clock.callAt(300, () => hosts.push(storeHost('s2', 4)))
  t.deepEqual(await name(), { kind: 'committed', by: 'store' })
  t.true(clock.nowMs() < 400)
})
