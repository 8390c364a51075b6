import test from 'ava'
import { GroupStanding, planGroups, type OpenBatch, type OpenGroup } from '../../src/batchScheduling/groupPlan.js'

const DUE_AT_MS = 7_500
const ABANDON_AT_MS = 12_000

function group (groupId: string, changes: Partial<OpenGroup> = {}): OpenGroup {
  return { groupId, isCarriedOver: false, workMs: 10_000, longestMs: 2_000, ...changes }
}

function batch (groups: OpenGroup[], changes: Partial<OpenBatch> = {}): OpenBatch {
  return { batchId: 'b1', dueAtMs: DUE_AT_MS, abandonAtMs: ABANDON_AT_MS, wantedGroupsCount: groups.length, wholeGroupsCount: 0, groups, ...changes }
}

function idsOf (batches: OpenBatch[], slotsCount: number, standing: GroupStanding, nowMs = 0): string[] {
  return planGroups(batches, slotsCount, nowMs).filter(planned => planned.standing === standing).map(planned => planned.group.groupId)
}

test('should plan as many groups as fit until they are due, those that need least', t => {
  const batches = [batch([group('g1', { workMs: 30_000 }), group('g2'), group('g3', { workMs: 20_000 }), group('g4', { workMs: 12_000 })])]
  t.deepEqual(idsOf(batches, 6, GroupStanding.Planned), ['g2', 'g4'])
  t.deepEqual(idsOf(batches, 6, GroupStanding.Behind), ['g3', 'g1'])
  t.deepEqual(idsOf(batches, 20, GroupStanding.Planned), ['g2', 'g4', 'g3', 'g1'])
})

test('should plan a carried-over group first, and leave it out last', t => {
  const batches = [batch([group('g1'), group('g2', { isCarriedOver: true, workMs: 30_000 }), group('g3')])]
  t.deepEqual(idsOf(batches, 6, GroupStanding.Planned), ['g2', 'g1'])
  t.deepEqual(idsOf(batches, 5, GroupStanding.Planned), ['g2'])
})

test('should plan no group whose longest item cannot end in time', t => {
  const batches = [batch([group('g1', { longestMs: 7_600 }), group('g2')])]
  t.deepEqual(idsOf(batches, 100, GroupStanding.Planned), ['g2'])
  t.deepEqual(idsOf(batches, 100, GroupStanding.Behind), ['g1'])
})

test('should count groups beyond the wanted number as surplus, and carried-over ones never', t => {
  const groups = [group('g1', { workMs: 12_000 }), group('g2'), group('g3', { workMs: 11_000 }), group('g4', { isCarriedOver: true, workMs: 50_000 })]
  const wanting = batch(groups, { wantedGroupsCount: 3, wholeGroupsCount: 1 })
  t.deepEqual(idsOf([wanting], 100, GroupStanding.Planned), ['g4', 'g2'])
  t.deepEqual(idsOf([wanting], 100, GroupStanding.Surplus), ['g3', 'g1'])
  const satisfied = batch(groups, { wantedGroupsCount: 3, wholeGroupsCount: 3 })
  t.deepEqual(idsOf([satisfied], 100, GroupStanding.Surplus), ['g2', 'g3', 'g1'])
  t.deepEqual(idsOf([satisfied], 100, GroupStanding.Planned), ['g4'])
})

test('should take a group that can be whole in place of one that cannot, up to the wanted number', t => {
  const batches = [batch([group('g1', { workMs: 100, longestMs: 9_000 }), group('g2'), group('g3')], { wantedGroupsCount: 2 })]
  t.deepEqual(idsOf(batches, 100, GroupStanding.Planned), ['g2', 'g3'])
  t.deepEqual(idsOf(batches, 100, GroupStanding.Surplus), ['g1'])
})

test('should let the groups of a late batch follow the planned ones of the next, and precede its others', t => {
  const late = batch([group('g1'), group('g2')], { dueAtMs: -500, abandonAtMs: 4_000 })
  const next = batch([group('n1'), group('n2', { workMs: 60_000 })], { batchId: 'b2' })
  t.deepEqual(planGroups([late, next], 6, 0).map(planned => planned.group.groupId), ['n1', 'g1', 'g2', 'n2'])
})

// A leader that takes over reads the items in another order than they were submitted in.
test('should make the same plan in whichever order batches and groups are given', t => {
  const groups = Array.from({ length: 12 }, (_value, position) => group(`g${position}`, { workMs: 8_000 + 1_000 * (position % 3), isCarriedOver: position === 7 }))
  const others = groups.map(other => ({ ...other, groupId: `n${other.groupId}` }))
  const planOf = (batches: OpenBatch[]): string[] => planGroups(batches, 15, 0).map(({ group: { groupId }, standing }) => `${groupId} ${standing}`)
  const first = planOf([batch(groups, { wantedGroupsCount: 10 }), batch(others, { batchId: 'b2', dueAtMs: 5_000 })])
  const second = planOf([batch([...others].reverse(), { batchId: 'b2', dueAtMs: 5_000 }), batch([...groups].reverse(), { wantedGroupsCount: 10 })])
  t.deepEqual(second, first)
})
