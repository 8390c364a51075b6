import test from 'ava'
import type { Dispatcher } from 'undici'
import { ItemStream } from '../../platform/itemStream.js'
import type { ItemEvent } from '../../src/endpoints/endpointClient.js'

class FakeController implements Dispatcher.DispatchController {
  aborted = false
  paused = false
  reason: Error | null = null
  readonly rawHeaders: string[]

  constructor (version = 1) {
    this.rawHeaders = ['x-threaddrum-attempt-id', 'i1', 'x-threaddrum-server-stamp', 's', 'x-threaddrum-weight-versions', String(version)]
  }

  abort (reason: Error): void {
    this.aborted = true
    this.reason = reason
  }

  pause (): void {}

  resume (): void {}
}

function startStream (onEvent: (event: ItemEvent, stream: ItemStream) => void): { stream: ItemStream, controller: FakeController } {
  const stream: ItemStream = new ItemStream({ attemptId: 'i1', afterEventId: undefined }, event => onEvent(event, stream))
  const controller = new FakeController()
  stream.onRequestStart(controller)
  stream.onResponseStart(controller, 200)
  return { stream, controller }
}

const TWO_EVENTS = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n')

test('should deliver events in the event-loop turn in which their bytes arrive', async t => {
  const ids: number[] = []
  const { stream, controller } = startStream(({ id }) => ids.push(id))
  stream.onResponseData(controller, TWO_EVENTS)
  t.deepEqual(ids, [1, 2])
  stream.onResponseEnd()
  t.deepEqual(await stream.outcome, { kind: 'finished' })
})

test('should deliver no event after the one that cancels the stream, even from the same chunk', async t => {
  const ids: number[] = []
  const { stream, controller } = startStream(({ id }, own) => {
    ids.push(id)
    own.cancel('left')
  })
  stream.onResponseData(controller, TWO_EVENTS)
  t.deepEqual(ids, [1])
  t.true(controller.aborted)
  t.deepEqual(await stream.outcome, { kind: 'broken', reason: 'left' })
})

test('should not be sent once it is cancelled', t => {
  const stream = new ItemStream({ attemptId: 'i1', afterEventId: undefined }, () => {})
  stream.cancel('left')
  const controller = new FakeController()
  stream.onRequestStart(controller)
  t.true(controller.aborted)
})
