import test from 'ava'
import { seededRandom } from '../src/utils/randomSource.js'

test('should spread the first numbers of neighbouring seeds', t => {
  const firsts = Array.from({ length: 200 }, (_, seed) => seededRandom(seed).real())
  const inTenths = Array.from({ length: 10 }, (_, tenth) => firsts.filter(value => Math.floor(value * 10) === tenth).length)
  for (const count of inTenths) t.true(count >= 8 && count <= 35, inTenths.join(' '))
})

test('should give the same numbers for the same seed', t => {
  t.is(seededRandom(7).id(), seededRandom(7).id())
  t.not(seededRandom(7).id(), seededRandom(8).id())
})
