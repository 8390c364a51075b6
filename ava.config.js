// Tests with crowds of clients need the machine to themselves: they run one at a time, after all others.
const runsCrowds = process.env.TEST_CROWDS === '1'

export default {
  files: runsCrowds ? ['dist/tests/crowds/**/*.test.js'] : ['dist/tests/**/*.test.js', '!dist/tests/crowds/**'],
  timeout: '5m',
  workerThreads: false,
  concurrency: runsCrowds ? 1 : 4
}
