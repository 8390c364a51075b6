/**
 * Connections for the HTTP client undici that end only in order.
 *
 * An answer may have neither a length nor chunks and end with its connection. Then all
 * depends on how the connection ends, and the layers below do not tell a reset:
 *
 * - undici takes an error with the code of a reset for the end of such an answer.
 * - libuv reports the end of the data instead of the error where a reset arrives
 *   together with the last bytes. A reset connection has no peer any more.
 * - undici breaks an invariant, which ends the process, if the end comes while the
 *   reader of such an answer is behind.
 *
 * A socket from here fails on a reset, and ends only once its reader has taken all bytes.
 */
import { buildConnector, errors } from 'undici'
import type { Socket } from 'node:net'

const RESET_CODE = 'ECONNRESET'
/** undici's code for a lost connection: the answer in progress fails, and requests that were not sent go to another connection. */
const CONNECTION_LOST_CODE = 'UND_ERR_SOCKET'

/** @returns a connector for the `connect` option of undici's clients */
export function httpConnector (options: buildConnector.BuildOptions): buildConnector.connector {
  const connect = buildConnector(options)
  return (target, callback) => {
    connect(target, (...outcome) => {
      if (outcome[1]) failOnReset(outcome[1])
      callback(...outcome)
    })
  }
}

/** To be called before undici gets the socket, because the listener here has to run before undici's. */
export function failOnReset (socket: Socket): void {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === RESET_CODE) error.code = CONNECTION_LOST_CODE
  })
  holdEnd(socket)
}

/**
 * Lets the end of the data pass once the reader, told that there is something, finds
 * nothing; if the connection was reset, the socket fails instead. A reader that is behind
 * does not look, and undici also reads when it resumes, before it knows whether it has to
 * pause again: only what it reads on being told counts.
 */
function holdEnd (socket: Socket): void {
  const push = socket.push.bind(socket)
  const read = socket.read.bind(socket)
  let isEndHeld = false
  let isTelling = false
  const tellReader = (): void => {
    isTelling = true
    socket.emit('readable')
    isTelling = false
  }
  const passEnd = (): void => {
    isEndHeld = false
    if (socket.remoteAddress === undefined) socket.destroy(new errors.SocketError('reset together with the last bytes'))
    else push(null)
  }
  socket.push = (chunk, encoding) => {
    if (chunk !== null) return push(chunk, encoding)
    isEndHeld = true
    process.nextTick(tellReader)
    return false
  }
  socket.read = sizeBytes => {
    const chunk: unknown = read(sizeBytes)
    const isUsedUp = chunk === null && sizeBytes === undefined
    if (isUsedUp && isEndHeld && isTelling) passEnd()
    else if (isUsedUp && isEndHeld) process.nextTick(tellReader)
    return chunk
  }
}
