/**
 * Determines the caller of a request and the priority class of the call.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import { CallerHeader, DEFAULT_PRIORITY_CLASS } from '../../protocol/callers.js'
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import { ResourceKind } from '../../protocol/resources.js'
import type { Exchange } from './route.js'

export const ANONYMOUS_CALLER = 'anonymous'

export type CallerOutcome =
  | { kind: 'caller', callerName: string, priorityClass: string }
  | { kind: 'refused', refusal: Refusal }

/** Returns caller and class; a class configured for the caller overrides the class that the request names. */
export function callerOf ({ request }: Exchange, configuration: ConfigurationView): CallerOutcome {
  const callerName = headerOf(request.headers[CallerHeader.CallerName]) ?? ANONYMOUS_CALLER
  const declared = configuration.get(ResourceKind.CallerLimit, callerName)?.spec.priorityClass
  const priorityClass = declared ?? headerOf(request.headers[CallerHeader.PriorityClass])
  if (priorityClass === undefined) return { kind: 'caller', callerName, priorityClass: lowestClass(configuration) }
  if (!configuration.get(ResourceKind.PriorityClass, priorityClass)) {
    const message = `unknown priority class ${priorityClass}`
    return { kind: 'refused', refusal: { reason: RefusalReason.UnknownPriorityClass, executed: Executed.No, message } }
  }
  return { kind: 'caller', callerName, priorityClass }
}

/** Returns the class with the lowest paid weight, the default for requests that name no class. */
function lowestClass (configuration: ConfigurationView): string {
  const classes = configuration.list(ResourceKind.PriorityClass)
  const [first, ...others] = classes
  if (!first) return DEFAULT_PRIORITY_CLASS
  return others.reduce((lowest, candidate) => candidate.spec.paidWeight < lowest.spec.paidWeight ? candidate : lowest, first).name
}

function headerOf (value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}
