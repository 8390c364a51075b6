import test from 'ava'
import { bendOf, fitLine, MIN_SIZES, spreadPercentOf } from '../../bench/slopes/slope.js'
import { capacityTables, isPageCurrent, pageWith } from '../../tools/capacity.js'
import { capacityRows } from '../../tools/capacity/rows.js'
import { SlopeBook } from '../../tools/capacity/slopeBook.js'
import { controlVerdicts, verdictTable } from '../../tools/capacity/tables.js'

const straight = [1, 2, 3, 4].map(size => ({ size, values: [9 + 2 * size, 10 + 2 * size, 11 + 2 * size] }))

test('should fit a straight line and see that one bends', t => {
  const line = fitLine(straight)
  t.deepEqual([line.perUnit.toFixed(6), line.intercept.toFixed(6)], ['2.000000', '10.000000'])
  t.is(bendOf(straight, line).toFixed(6), '1.000000')
  const square = [1, 2, 3, 4].map(size => ({ size, values: [size * size] }))
  t.true(bendOf(square, fitLine(square)) > 1.3)
  t.is(Math.round(spreadPercentOf(straight)), 17)
})

test('should keep the tables of the page as the stored slopes give them', t => {
  t.true(isPageCurrent(), 'run npm run capacity -- --write')
  t.notRegex(capacityTables(), /NaN|undefined|Infinity/)
  t.throws(() => pageWith('no marks', ''))
})

test('should hold stored slopes of four sizes or more, with command, date and commit', t => {
  const { all } = SlopeBook.read()
  t.true(all.length > 10)
  for (const { name, readings, command, commit } of all) {
    t.true(readings.length >= MIN_SIZES, name)
    t.is(command, `npm run slopes -- ${name}`)
    t.regex(commit, /^[0-9a-f]{7,}$/, name)
  }
})

test('should not say that a limit holds while a slope that it needs is missing', t => {
  const { all } = SlopeBook.read()
  const without = new SlopeBook(all.filter(({ name }) => name !== 'control.clientSteadyBytes'))
  const table = verdictTable(controlVerdicts(capacityRows(without), without))
  t.notRegex(table, /\| holds \|/)
  t.regex(table, /control\.clientSteadyBytes.* not measured/)
})
