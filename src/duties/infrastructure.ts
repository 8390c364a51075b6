/**
 * Calls to the infrastructure that only one host at a time may make, and the outcomes
 * of these calls. The state of the infrastructure cannot be read back: a call without a
 * definite answer may have been executed, or may be executed later.
 */
import type { Scope } from '../utils/scope.js'

export enum DutyKind {
  /** Reports how many requests of each client account were started in a time window. */
  ReportUsage = 'report_usage',
  /** Sends the desired number of a service's endpoints in one data centre. */
  OrderEndpoints = 'order_endpoints'
}

export type DutyCall =
  | { kind: DutyKind.ReportUsage, windowId: number, counts: Record<string, number> }
  | { kind: DutyKind.OrderEndpoints, service: string, dataCentre: string, isReclaimable: boolean, desiredCount: number }

/** The host that makes a call. */
export interface DutyHolder {
  /** Name of the host. */
  holder: string
  /** Increases with every host that takes over the duty; never shared by two hosts. */
  fencingNumber: number
}

export type DutyOutcome =
  | { kind: 'done' }
  /** The infrastructure already holds other content, or has no capacity now. */
  | { kind: 'conflict' }
  /** Rate limited: too many calls of all hosts together. */
  | { kind: 'tooMany' }
  /** The infrastructure has seen a higher fencing number. */
  | { kind: 'staleFence' }
  | { kind: 'refused', status: number }
  /** Nothing was sent. */
  | { kind: 'notSent', reason: string }
  /** The call may have been executed, or may be executed later. */
  | { kind: 'unknown', reason: string }

export interface Infrastructure {
  /**
   * @param mayAct checked immediately before the request is written: connecting may have taken longer than the duty lasted
   */
  call: (call: DutyCall, dutyHolder: DutyHolder, mayAct: () => boolean, deadlineMs: number, scope: Scope) => Promise<DutyOutcome>
}
