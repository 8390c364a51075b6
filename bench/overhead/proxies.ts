/**
 * Starts and queries the processes that the overhead benchmark compares.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { ProxyCommand, ProxyKind, ProxyUsage } from './proxyMessages.js'

const script = join(dirname(fileURLToPath(import.meta.url)), 'proxyProcess.js')

export class Proxy {
  readonly kind: ProxyKind
  readonly url: string
  private readonly _child: ChildProcess

  private constructor (kind: ProxyKind, url: string, child: ChildProcess) {
    this.kind = kind
    this.url = url
    this._child = child
  }

  static async start (kind: ProxyKind, targetUrl: string): Promise<Proxy> {
    const child = fork(script, [kind, targetUrl], { execArgv: ['--expose-gc'] })
    const [{ url }] = await once(child, 'message') as [{ url: string }]
    return new Proxy(kind, url, child)
  }

  async usage (): Promise<ProxyUsage> {
    const answered = once(this._child, 'message')
    this._tell({ kind: 'usage' })
    const [usage] = await answered as [ProxyUsage]
    return usage
  }

  stop (): void {
    this._tell({ kind: 'stop' })
  }

  private _tell (command: ProxyCommand): void {
    this._child.send(command)
  }
}
