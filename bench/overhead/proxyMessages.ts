/**
 * IPC messages between the overhead benchmark and its processes.
 */
export enum ProxyKind {
  Entry = 'entry',
  Bare = 'bare'
}

export interface ProxyUsage {
  processorMicros: number
  heapBytes: number
  residentBytes: number
}

export type ProxyCommand = { kind: 'usage' } | { kind: 'stop' }
