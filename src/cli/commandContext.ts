/** The context of every command, and the report of a failed call. */
import type { Progress } from '../utils/progress.js'
import { ExitCode } from './exitCode.js'
import type { OperatorAnswer, OperatorClient } from './operatorClient.js'
import type { Output } from './output.js'

export interface CommandContext {
  client: OperatorClient
  progress: Progress
  output: Output
  /** Print JSON instead of tables. */
  asJson: boolean
}

/** Prints why a call failed and returns the exit code for it. */
export function reportFailure (context: CommandContext, what: string, answer: Exclude<OperatorAnswer<never>, { kind: 'answered' }>): ExitCode {
  switch (answer.kind) {
    case 'notFound':
      context.output.error(`${what}: not found`)
      return ExitCode.NotFound
    case 'refused':
      context.output.error(`${what}: refused: ${answer.message}`)
      return ExitCode.Refused
    case 'unreachable':
      context.output.error(`${what}: no control host answered in time; last failure: ${answer.message}`)
      return ExitCode.Unreachable
  }
}
