/**
 * One side of the overhead benchmark in a separate process, so that its processor
 * time can be measured separately: an entry host, or a bare pass-through from
 * node:http to undici. Receives its commands over IPC.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent } from 'undici'
import { EndpointKind, ResourceKind } from '../../src/protocol/resources.js'
import { EntryCluster } from '../../tests/fixtures/entryCluster.js'
import { loopbackHost } from '../../tests/fixtures/loopback.js'
import { ProxyKind, type ProxyCommand, type ProxyUsage } from './proxyMessages.js'

async function startEntry (): Promise<string> {
  const cluster = new EntryCluster()
  cluster.control.put(ResourceKind.EndpointPool, 'lm', { endpointKind: EndpointKind.Engine, model: 'practice-lm', maxConcurrentCount: 10_000 })
  const host = await cluster.start()
  return host.url
}

async function startBare (targetUrl: string): Promise<string> {
  const agent = new Agent({ pipelining: 1 })
  const server = createServer((request, response) => {
    const { host, connection, 'content-length': length, ...headers } = request.headers
    agent.request({ origin: targetUrl, path: request.url ?? '/', method: request.method as 'POST', headers, body: request }).then(answer => {
      response.writeHead(answer.statusCode, answer.headers)
      answer.body.pipe(response)
    }, () => response.destroy())
  })
  await new Promise<void>(resolve => server.listen(0, loopbackHost(), resolve))
  return `http://${loopbackHost()}:${(server.address() as AddressInfo).port}`
}

function usage (): ProxyUsage {
  globalThis.gc?.()
  const { user, system } = process.cpuUsage()
  const { heapUsed, external, rss } = process.memoryUsage()
  return { processorMicros: user + system, heapBytes: heapUsed + external, residentBytes: rss }
}

const [kind = ProxyKind.Bare, targetUrl = ''] = process.argv.slice(2)
const url = kind === ProxyKind.Entry ? await startEntry() : await startBare(targetUrl)
process.on('message', (command: ProxyCommand) => {
  if (command.kind === 'stop') process.exit(0)
  process.send?.(usage())
})
process.on('disconnect', () => process.exit(0))
process.send?.({ url })
