/**
 * `threaddrum watch`: shows changes of resources as they happen. A watch whose
 * connection is lost resumes after the last revision that was shown.
 */
import { EventSourceParserStream } from 'eventsource-parser/stream'
import { ReadableStream } from 'node:stream/web'
import { resourceEventSchema, type ResourceEvent } from '../protocol/resourceCommands.js'
import type { ResourceKind } from '../protocol/resources.js'
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'

export interface WatchOptions {
  fromRevision: number
  kind?: ResourceKind
  /** Ends after this many events; if undefined, runs until stopped. */
  maxEventsCount?: number
}

export async function runWatch (context: CommandContext, options: WatchOptions): Promise<ExitCode> {
  let { fromRevision } = options
  let shownCount = 0
  for (;;) {
    const start = await context.client.watch(fromRevision, options.kind, context.progress)
    switch (start.kind) {
      case 'compacted':
        context.output.error(`changes up to revision ${fromRevision} have been compacted away: list again with "threaddrum get", then watch from revision ${start.currentRevision}`)
        return ExitCode.Compacted
      case 'refused':
      case 'unreachable':
        return reportFailure(context, 'watch', start)
      case 'streaming':
        for await (const event of readEvents(start.body)) {
          if (event.revision <= fromRevision && shownCount > 0) continue
          show(context, event)
          fromRevision = event.revision
          shownCount++
          if (shownCount === options.maxEventsCount) return ExitCode.Done
        }
    }
  }
}

async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<ResourceEvent> {
  const events = ReadableStream.from(body).pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream())
  try {
    for await (const { data } of events) {
      const parsed = resourceEventSchema.safeParse(JSON.parse(data))
      if (parsed.success) yield parsed.data
    }
  } catch {
    // The connection was lost: the watch resumes at another host.
  }
}

function show ({ output, asJson }: CommandContext, event: ResourceEvent): void {
  if (asJson) return output.print(JSON.stringify(event))
  switch (event.kind) {
    case 'put':
      return output.print(`${event.revision} ${event.resource.kind} ${event.resource.name} applied ${JSON.stringify(event.resource.spec)}`)
    case 'deleted':
      return output.print(`${event.revision} ${event.resourceKind} ${event.name} deleted`)
  }
}
