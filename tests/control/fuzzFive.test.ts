import test from 'ava'
import { fuzz } from '../fixtures/clusterFuzz.js'

test('should lose, revert and contradict nothing in 400 random runs of five replicas', async t => {
  t.timeout(280_000)
  await fuzz(5, 400)
  t.pass()
})
