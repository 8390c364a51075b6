/**
 * Processes that slopes measure: started as `child.js KIND ARGUMENT`, they report
 * when they are ready, and respond to usage queries with their own counters.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { liveBytes } from './ownProcess.js'

/** Resource usage of a process since its start. */
export interface Usage {
  processorUs: number
  /** Bytes sent and received over its framed connections. */
  frameBytes: number
  frameMessages: number
  /** Live memory after garbage collection, which each usage query runs. */
  liveBytes: number
  residentBytes: number
}

export interface UsageSources {
  counts?: { sentBytes: number, receivedBytes: number, sentMessages: number, receivedMessages: number }
}

/** Called in the child: sends `ready` to the parent, then responds to usage queries. */
export function serveUsage (ready: unknown, { counts }: UsageSources): void {
  process.on('message', () => {
    const { user, system } = process.cpuUsage()
    const usage: Usage = {
      processorUs: user + system,
      frameBytes: counts ? counts.sentBytes + counts.receivedBytes : 0,
      frameMessages: counts ? counts.sentMessages + counts.receivedMessages : 0,
      liveBytes: liveBytes(),
      residentBytes: process.memoryUsage().rss
    }
    process.send?.({ usage })
  })
  process.send?.({ ready })
}

export class MeasuredProcess {
  /** The value that the child sent when it was ready. */
  readonly ready: unknown
  private readonly _child: ChildProcess

  private constructor (child: ChildProcess, ready: unknown) {
    this._child = child
    this.ready = ready
  }

  static async start (kind: string, argument: unknown): Promise<MeasuredProcess> {
    const path = fileURLToPath(new URL('./child.js', import.meta.url))
    const child = fork(path, [kind, JSON.stringify(argument)], { execArgv: ['--expose-gc'] })
    const [message] = await once(child, 'message') as [{ ready: unknown }]
    return new MeasuredProcess(child, message.ready)
  }

  async usage (): Promise<Usage> {
    this._child.send('usage')
    const [message] = await once(this._child, 'message') as [{ usage: Usage }]
    return message.usage
  }

  async stop (): Promise<void> {
    const exited = once(this._child, 'exit')
    this._child.kill('SIGKILL')
    await exited
  }
}

/** Usage between two readings, per second. */
export function usagePerSecond (before: Usage, after: Usage, elapsedMs: number): Omit<Usage, 'liveBytes' | 'residentBytes'> {
  const perSecond = (key: 'processorUs' | 'frameBytes' | 'frameMessages'): number => (after[key] - before[key]) * 1_000 / elapsedMs
  return { processorUs: perSecond('processorUs'), frameBytes: perSecond('frameBytes'), frameMessages: perSecond('frameMessages') }
}
