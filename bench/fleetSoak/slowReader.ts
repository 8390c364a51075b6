/**
 * A caller that reads nothing of its answer for a while: its socket is paused, so that
 * the answer fills the buffers on the way and the host has to keep the rest.
 */
import { connect, type Socket } from 'node:net'
import { WireHeader } from '../../platform/wireNames.js'
import { parseAddress } from '../../src/utils/settings.js'
import type { SlowRead } from './soakRecord.js'

const HEAD_END = '\r\n\r\n'

export interface SlowReaderOptions {
  address: string
  host: string
  attemptId: string
  /** How long nothing is read. */
  pauseMs: number
  /** Longest wait for the rest of the answer after that. */
  timeoutMs: number
}

export async function readAfterPause ({ address, host, attemptId, pauseMs, timeoutMs }: SlowReaderOptions): Promise<SlowRead> {
  const socket = connect(parseAddress(address))
  socket.pause()
  socket.write(`GET /open/${attemptId} HTTP/1.1\r\nHost: ${host}\r\n${WireHeader.AttemptId}: ${attemptId}\r\nConnection: close\r\n\r\n`)
  return parse(attemptId, await readAll(socket, pauseMs, timeoutMs))
}

async function readAll (socket: Socket, pauseMs: number, timeoutMs: number): Promise<string> {
  const chunks: Buffer[] = []
  socket.on('data', chunk => chunks.push(chunk))
  socket.pause()
  const resuming = setTimeout(() => socket.resume(), pauseMs)
  const ending = setTimeout(() => socket.destroy(), pauseMs + timeoutMs)
  // A host that breaks the answer off resets the connection; what was read until then counts.
  socket.on('error', () => {})
  await new Promise(resolve => socket.once('close', resolve))
  clearTimeout(resuming)
  clearTimeout(ending)
  return Buffer.concat(chunks).toString()
}

function parse (attemptId: string, text: string): SlowRead {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return { attemptId, isComplete: false, status: undefined, body: '' }
  const head = text.slice(0, headEnd)
  const body = text.slice(headEnd + HEAD_END.length)
  const lengthBytes = Number(/^content-length: (\d+)$/im.exec(head)?.[1])
  return { attemptId, isComplete: body.length >= lengthBytes, status: Number(head.split(' ')[1]), body }
}
