import test from 'ava'
import { fuzz } from '../fixtures/clusterFuzz.js'

test('should lose, revert and contradict nothing in 700 random runs of three replicas', async t => {
  t.timeout(280_000)
  await fuzz(3, 700)
  t.pass()
})
