/**
 * Manages child processes: each has a name and a log file, each is stopped by
 * its own process id, and none outlives the program that started it.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, readFileSync } from 'node:fs'
import { join } from 'node:path'

export interface ProcessEnd {
  code: number | null
  signal: NodeJS.Signals | null
}

export class ManagedProcess {
  readonly name: string
  readonly logFile: string
  /** Resolves once the process has exited and its output is closed. */
  readonly ended: Promise<ProcessEnd>
  private readonly _child: ChildProcess
  private _end: ProcessEnd | undefined

  constructor (name: string, logFile: string, child: ChildProcess) {
    this.name = name
    this.logFile = logFile
    this._child = child
    this.ended = new Promise(resolve => {
      child.once('close', (code, signal) => {
        this._end = { code, signal }
        resolve(this._end)
      })
    })
  }

  get pid (): number {
    return this._child.pid ?? 0
  }

  /** Exit code or signal; undefined while the process runs. */
  get end (): ProcessEnd | undefined {
    return this._end
  }

  signal (signal: NodeJS.Signals): void {
    if (!this._end) this._child.kill(signal)
  }

  async stop (signal: NodeJS.Signals = 'SIGTERM'): Promise<ProcessEnd> {
    this.signal(signal)
    return await this.ended
  }

  /** Output of the process so far. */
  log (): string {
    return readFileSync(this.logFile, 'utf8')
  }
}

export class ProcessGroup {
  private readonly _folder: string
  private readonly _processes: ManagedProcess[] = []
  private readonly _guardian: ChildProcess
  private _isClosing = false

  /** @param folder for the log files */
  constructor (folder: string, guardianScript: string) {
    this._folder = folder
    this._guardian = spawn(process.execPath, [guardianScript], { stdio: ['pipe', 'ignore', 'ignore'], detached: true })
    this._guardian.stdin?.on('error', () => {})
  }

  get processes (): readonly ManagedProcess[] {
    return this._processes
  }

  /** Starts no more processes from now on. */
  beginClosing (): void {
    this._isClosing = true
  }

  /**
   * @param env variables added to the environment of this process
   * @throws Error once the group is closing
   */
  start (name: string, script: string, args: string[], env: Record<string, string> = {}): ManagedProcess {
    if (this._isClosing) throw new Error(`${name}: not started, because the others are being stopped`)
    const logFile = join(this._folder, `${name}.log`)
    const log = createWriteStream(logFile, { flags: 'a' })
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ROARR_LOG: 'true', ...env },
      // Detached, so that Ctrl-C at the terminal interrupts only the program that started the process.
      detached: true
    })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    const managed = new ManagedProcess(name, logFile, child)
    this._processes.push(managed)
    this._guardian.stdin?.write(`${managed.pid}\n`)
    managed.ended.then(() => {
      log.end()
      this._guardian.stdin?.write(`-${managed.pid}\n`)
    }, () => {})
    return managed
  }

  /** Kills all processes that are still running; SIGCONT first resumes stopped ones. */
  async killAll (): Promise<void> {
    await Promise.all(this._processes.map(async managed => {
      managed.signal('SIGCONT')
      return await managed.stop('SIGKILL')
    }))
    this._guardian.stdin?.end()
  }
}
