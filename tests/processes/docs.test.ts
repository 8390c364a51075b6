import test from 'ava'
import { request } from 'undici'
import { readCurlLines } from '../fixtures/curlLines.js'
import { ProcessSystem } from '../fixtures/processSystem.js'

const PAGES = ['docs/CALLERS.md', 'docs/TRAINERS.md', 'docs/ENDPOINTS.md', 'docs/OPERATORS.md']
const WATCH_PATH = '/v1/watch'
const UNKNOWN_ID = 'REQUEST-OR-ATTEMPT-ID'

test('should answer every curl line of the docs', async t => {
  const system = await ProcessSystem.start(t)
  for (const { line, method, url, headers, body } of PAGES.flatMap(readCurlLines)) {
    const answer = await request(system.local.replaceExampleAddresses(url), { method: method as 'GET', headers, body })
    const expected = url.includes(UNKNOWN_ID) ? [404] : [200, 201, 202]
    t.true(expected.includes(answer.statusCode), `${line}: ${answer.statusCode}`)
    if (url.includes(WATCH_PATH)) answer.body.destroy()
    else t.not(await answer.body.text(), '', line)
  }
})
