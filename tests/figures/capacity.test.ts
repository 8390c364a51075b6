import test from 'ava'
import { bendOf, fitLine, MIN_SIZES, spreadPercentOf } from '../../bench/slopes/slope.js'
import { capacityTables, isPageCurrent, pageWith } from '../../tools/capacity.js'
import { capacityRows } from '../../tools/capacity/rows.js'
import { SlopeBook } from '../../tools/capacity/slopeBook.js'
import { controlVerdicts, verdictTable } from '../../tools/capacity/tables.js'

const straight = [1, 2, 3, 4].map(size => ({ size, values: [9 + 2 * size, 10 + 2 * size, 11 + 2 * size] }))

test('should fit a straight line and detect a curved one', t => {
  const line = fitLine(straight)
  t.deepEqual([line.perUnit.toFixed(6), line.intercept.toFixed(6)], ['2.000000', '10.000000'])
  t.is(bendOf(straight, line).toFixed(6), '1.000000')
  const square = [1, 2, 3, 4].map(size => ({ size, values: [size * size] }))
  t.true(bendOf(square, fitLine(square)) > 1.3)
  t.is(Math.round(spreadPercentOf(straight)), 17)
})

test('should have up-to-date tables in the page for the stored slopes', t => {
  t.true(isPageCurrent(), 'run npm run capacity -- --write')
  t.notRegex(capacityTables(), /NaN|undefined|Infinity/)
  t.throws(() => pageWith('no marks', ''))
})

test('should store slopes with at least four sizes, and with command, date and commit', t => {
  const { all } = SlopeBook.read()
  t.true(all.length > 10)
  for (const { name, readings, command, commit } of all) {
    t.true(readings.length >= MIN_SIZES, name)
    t.is(command, `npm run slopes -- ${name}`)
    t.regex(commit, /^[0-9a-f]{7,}$/, name)
  }
})

test('should not report that a limit holds if a slope that it depends on is missing', t => {
  const free = SlopeBook.read().all.map(slope => ({ ...slope, perUnit: 0, intercept: 0 }))
  const verdictsOf = (book: SlopeBook): string => verdictTable(controlVerdicts(capacityRows(book), book))
  t.is(verdictsOf(new SlopeBook(free)).match(/\| holds \|/g)?.length, 3)
  const without = verdictsOf(new SlopeBook(free.filter(({ name }) => name !== 'control.clientSteadyBytes')))
  t.notRegex(without, /\| holds \|/)
  t.regex(without, /control\.clientSteadyBytes.* not measured/)
})

test('should report an exceeded limit even if slopes are missing', t => {
  const expensive = SlopeBook.read().all.map(slope => ({ ...slope, perUnit: 1e9, intercept: 1e9 }))
  const book = new SlopeBook(expensive.filter(({ name }) => name !== 'control.clientSteadyBytes'))
  t.regex(verdictTable(controlVerdicts(capacityRows(book), book)), /does not hold/)
})
