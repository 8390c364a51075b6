import test from 'ava'
import type { Sample } from '../../src/protocol/trainers.js'
import { mkdtempSync, statSync, truncateSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { GenerationRecord, readRecordFile } from '../../standins/generationRecord.js'
import { TrainerChecks } from '../../standins/trainerChecks.js'
import { findVersionMismatches } from '../../standins/versionCheck.js'

const ENGINE = { engineId: 'engine-1', engineIncarnation: 1 }

function sample (overrides: Partial<Sample> = {}): Sample {
  return {
    position: 1,
    job: 'hints',
    step: 0,
    group: 0,
    index: 0,
    attemptId: 'a1',
    prompt: 'p',
    tokens: ['a ', 'b ', 'c '],
    versions: [
      { fromToken: 0, toToken: 2, weightVersion: 3, ...ENGINE },
      { fromToken: 2, toToken: 3, weightVersion: 4, ...ENGINE }
    ],
    score: null,
    ...overrides
  }
}

function violationsOf (...samples: Array<[Sample, number]>): string[] {
  const checks = new TrainerChecks(1, 0)
  for (const [delivered, trainerVersion] of samples) checks.checkSample(delivered, trainerVersion)
  return checks.violations
}

test('should accept a fresh, complete sample at the expected position', t => {
  t.deepEqual(violationsOf([sample(), 4]), [])
})

test('should detect a gap, a repeat, a stale sample and a missing version span', t => {
  t.regex(violationsOf([sample({ position: 2 }), 4]).join(), /position 2 came after 0/)
  t.regex(violationsOf([sample(), 4], [sample({ position: 2, attemptId: 'a2' }), 4]).join(), /slot 0\/0\/0 came twice/)
  t.regex(violationsOf([sample(), 5]).join(), /2 versions old/)
  t.regex(violationsOf([sample({ versions: sample().versions.slice(1) }), 4]).join(), /do not cover/)
})

test('should detect a step that is reported complete but is not', t => {
  const checks = new TrainerChecks(1, 0)
  checks.checkSample(sample(), 4)
  checks.checkStep(0, 2)
  t.deepEqual(checks.violations, ['step 0 has 1 samples of 2'])
})

test('should detect versions and tokens that no engine generated', t => {
  const file = join(mkdtempSync(join(tmpdir(), 'threaddrum-record-')), 'engine')
  const record = new GenerationRecord(file)
  const entry = record.begin('r1', 'p', 0)
  record.add(entry, ['a ', 'b '], { weightVersion: 3, ...ENGINE })
  record.add(entry, ['c '], { weightVersion: 4, ...ENGINE })
  t.deepEqual(readRecordFile(file), [...record.entries])
  t.deepEqual(findVersionMismatches([sample()], [...record.entries]), [])
  const claimsOne = sample({ versions: [{ fromToken: 0, toToken: 3, weightVersion: 4, ...ENGINE }] })
  t.is(findVersionMismatches([claimsOne], [...record.entries]).length, 1)
  t.is(findVersionMismatches([sample({ tokens: ['a ', 'x ', 'c '] })], [...record.entries]).length, 1)
})

// A test of a killed engine failed because a line of the record was cut where it was read.
test('should read a record whose last line is cut, and go on behind its whole lines', t => {
  const file = join(mkdtempSync(join(tmpdir(), 'threaddrum-record-')), 'engine')
  const record = new GenerationRecord(file)
  const entry = record.begin('r1', 'p', 0)
  record.add(entry, ['a '], { weightVersion: 3, ...ENGINE })
  const whole = readRecordFile(file)
  record.add(entry, ['b '], { weightVersion: 3, ...ENGINE })
  truncateSync(file, statSync(file).size - 20)
  t.deepEqual(readRecordFile(file), whole)
  const next = new GenerationRecord(file)
  next.add(next.begin('r2', 'q', 0), ['c '], { weightVersion: 4, engineId: ENGINE.engineId, engineIncarnation: ENGINE.engineIncarnation + 1 })
  t.deepEqual(readRecordFile(file).map(({ requestId, tokens }) => ({ requestId, tokens })), [{ requestId: 'r1', tokens: ['a '] }, { requestId: 'r2', tokens: ['c '] }])
})
