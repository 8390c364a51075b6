/**
 * All commands in the replicated log of the control hosts, and their results.
 */
import { z } from 'zod'
import { hostCommandSchema, hostResultSchema, type HostCommand, type HostResult } from './hostCommands.js'
import { resourceCommandSchema, resourceResultSchema, type ResourceCommand, type ResourceResult } from './resourceCommands.js'
import { rolloutCommandSchema, rolloutResultSchema, type RolloutCommand, type RolloutResult } from './rolloutCommands.js'
import { routingCommandSchema, routingResultSchema, type RoutingCommand, type RoutingResult } from './routingCommands.js'
import { usageCommandSchema, usageResultSchema, type UsageCommand, type UsageResult } from './usage.js'
import { unrepeatableCommandSchema, unrepeatableResultSchema, type UnrepeatableCommand, type UnrepeatableResult } from './unrepeatableCommands.js'

export const commandSchema = z.union([resourceCommandSchema, hostCommandSchema, unrepeatableCommandSchema, rolloutCommandSchema, routingCommandSchema, usageCommandSchema])
export type Command = z.infer<typeof commandSchema>

export const commandResultSchema = z.union([resourceResultSchema, hostResultSchema, unrepeatableResultSchema, rolloutResultSchema, routingResultSchema, usageResultSchema])

export type CommandResult<C extends Command> =
  C extends ResourceCommand ? ResourceResult
    : C extends HostCommand ? HostResult
      : C extends UnrepeatableCommand ? UnrepeatableResult
        : C extends RolloutCommand ? RolloutResult
          : C extends RoutingCommand ? RoutingResult
            : C extends UsageCommand ? UsageResult
              : never

export type AnyCommandResult = z.infer<typeof commandResultSchema>
