/**
 * A `most` stream that is fed by calls of `emit`. Each value reaches all current
 * observers before `emit` returns; values are not buffered for later observers.
 */
import { Stream, type Scheduler, type Sink } from 'most'

export interface EventStream<T> {
  stream: Stream<T>
  emit (value: T): void
}

export function eventStream<T> (): EventStream<T> {
  const observers = new Map<Sink<T>, Scheduler>()
  const stream = new Stream<T>({
    run (sink, scheduler) {
      observers.set(sink, scheduler)
      return { dispose: () => { observers.delete(sink) } }
    }
  })
  const emit = (value: T): void => {
    for (const [sink, scheduler] of [...observers]) sink.event(scheduler.now(), value)
  }
  return { stream, emit }
}
