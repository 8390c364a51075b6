/**
 * RPC methods between the leader of the batch store and the store hosts that run
 * items for it.
 */
import { z } from 'zod'
import { runnerTaskSchema, taskReportSchema } from '../protocol/runnerTasks.js'
import { rpcMethod } from './rpcPeer.js'

const term = z.int()

/** New with every start of the runner's process, which has none of the tasks of an earlier one. */
const incarnationId = z.string()

/** Reading of the runner's own clock, which includes suspensions of its machine. */
const runnerClockMs = z.number()

const assignTasksReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('assigned'), incarnationId, runnerClockMs }),
  /** The message is too old, as the runner or the network was held up; none of its tasks was started. */
  z.object({ kind: z.literal('outdated'), incarnationId, runnerClockMs }),
  /** The runner knows a later leader. */
  z.object({ kind: z.literal('staleTerm'), term }),
  /** The runner is stopping and accepts no tasks. */
  z.object({ kind: z.literal('stopping') })
])
export type AssignTasksReply = z.infer<typeof assignTasksReplySchema>

const taskAssignmentSchema = z.object({
  term,
  /** Where the runner sends its reports. */
  leaderAddress: z.string(),
  /**
   * What the runner's clock shows at least when the message is sent, by the runner's
   * latest messages; a runner starts no task without it.
   */
  runnerClockMs: runnerClockMs.optional(),
  tasks: z.array(runnerTaskSchema)
})
export type TaskAssignment = z.infer<typeof taskAssignmentSchema>

/** Called by the leader. A call without tasks announces a new term, which ends the tasks of earlier terms. */
export const assignTasksMethod = rpcMethod('runner.assign', taskAssignmentSchema, assignTasksReplySchema)

/** Called by the leader before it hands over: all events received so far are reported before the reply. */
export const flushTasksMethod = rpcMethod('runner.flush', z.object({ term }), z.object({}))

const tasksReportSchema = z.object({
  term,
  runnerId: z.string(),
  incarnationId,
  runnerClockMs,
  /** What the runner's clock showed when it last received a message of the leader; absent from hosts that do not report it. */
  leaderHeardAtMs: runnerClockMs.optional(),
  reports: z.array(taskReportSchema)
})
export type TasksReport = z.infer<typeof tasksReportSchema>

const tasksReportReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('received'),
    /** Tasks that the leader does not wait for. */
    unknownTaskIds: z.array(z.int())
  }),
  /** This host does not lead in the term of the report. */
  z.object({ kind: z.literal('notLeader') })
])
export type TasksReportReply = z.infer<typeof tasksReportReplySchema>

/** Called by a runner at regular intervals while it has tasks; a timely reply renews its lease on them. */
export const reportTasksMethod = rpcMethod('runner.report', tasksReportSchema, tasksReportReplySchema)
