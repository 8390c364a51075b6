import test from 'ava'
import { isShort, roomOf } from '../../src/batchScheduling/room.js'

test('should take the mean pace of the slots, and that of the fastest engine', t => {
  const room = roomOf([{ slotsCount: 6, tokenMs: 1 }, { slotsCount: 6, tokenMs: 2 }])
  t.is(room.slotsCount, 12)
  t.is(room.tokenMs, 12 / 9)
  t.is(room.fastestTokenMs, 1)
})

test('should be short when the work due by one of the due times exceeds the room until then', t => {
  const room = roomOf([{ slotsCount: 10, tokenMs: 1 }])
  t.false(isShort(room, [{ dueInMs: 7_500, workMs: 75_000 }]))
  t.true(isShort(room, [{ dueInMs: 7_500, workMs: 75_001 }]))
  t.true(isShort(room, [{ dueInMs: 7_500, workMs: 40_000 }, { dueInMs: 3_500, workMs: 36_000 }]))
  t.false(isShort(room, [{ dueInMs: 7_500, workMs: 40_000 }, { dueInMs: 3_500, workMs: 35_000 }]))
})

test('should be short of any work without an engine', t => {
  t.true(isShort(roomOf([]), [{ dueInMs: 7_500, workMs: 1 }]))
})
