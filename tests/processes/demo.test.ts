import test from 'ava'
import { spawn } from 'node:child_process'

test('should run the complete demo and stop cleanly', async t => {
  const demo = spawn(process.execPath, ['dist/demo/main.js'], { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  demo.stdout.on('data', part => { output += String(part) })
  const code = await new Promise(resolve => demo.once('close', resolve))
  if (code !== 0) t.log(output)
  t.is(code, 0)
  t.regex(output, /a review sent twice under one Idempotency-Key ran once/)
  t.regex(output, /checked: 54 samples, fresh, complete, each once, versions as the engines recorded them/)
})
