/**
 * Who calls, and in which priority class the call counts.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import { CallerHeader } from '../../protocol/callers.js'
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import { ResourceKind } from '../../protocol/resources.js'
import type { Exchange } from './route.js'

export const ANONYMOUS_CALLER = 'anonymous'
/** Of callers that name none and have none declared. */
export const DEFAULT_PRIORITY_CLASS = 'default'

export type CallerOutcome =
  | { kind: 'caller', callerName: string, priorityClass: string }
  | { kind: 'refused', refusal: Refusal }

/** A class that the operator declared for the caller goes before the one that the request names. */
export function callerOf ({ request }: Exchange, configuration: ConfigurationView): CallerOutcome {
  const callerName = headerOf(request.headers[CallerHeader.CallerName]) ?? ANONYMOUS_CALLER
  const declared = configuration.get(ResourceKind.CallerLimit, callerName)?.spec.priorityClass
  const priorityClass = declared ?? headerOf(request.headers[CallerHeader.PriorityClass])
  if (priorityClass === undefined) return { kind: 'caller', callerName, priorityClass: DEFAULT_PRIORITY_CLASS }
  if (!configuration.get(ResourceKind.PriorityClass, priorityClass)) {
    const message = `there is no priority class ${priorityClass}`
    return { kind: 'refused', refusal: { reason: RefusalReason.UnknownPriorityClass, executed: Executed.No, message } }
  }
  return { kind: 'caller', callerName, priorityClass }
}

function headerOf (value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}
