export default {
  files: ['dist/tests/**/*.test.js'],
  timeout: '5m',
  workerThreads: false,
  concurrency: 6
}
