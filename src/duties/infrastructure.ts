/**
 * Calls to the infrastructure that are the duty of one host at a time, and what
 * can come of them. Nothing can be read back: a call without a clear answer may
 * have been carried out, or may yet be.
 */
import type { Scope } from '../utils/scope.js'

export enum DutyKind {
  /** Tells how many requests of each client account began in a window of time. */
  ReportUsage = 'report_usage',
  /** Orders the number of a service's endpoints in one data centre. */
  OrderEndpoints = 'order_endpoints'
}

export type DutyCall =
  | { kind: DutyKind.ReportUsage, windowId: number, counts: Record<string, number> }
  | { kind: DutyKind.OrderEndpoints, service: string, dataCentre: string, isReclaimable: boolean, desiredCount: number }

/** Who makes a call. */
export interface DutyStanding {
  /** Name of the host. */
  holder: string
  /** Higher with every host that takes the duty over; never shared by two. */
  fencingNumber: number
}

export type DutyOutcome =
  | { kind: 'done' }
  /** Another content holds already, or nothing is to be had now. */
  | { kind: 'conflict' }
  /** Too many calls of all hosts together. */
  | { kind: 'tooMany' }
  /** A higher fencing number was seen. */
  | { kind: 'staleFence' }
  | { kind: 'refused', status: number }
  /** Nothing was sent. */
  | { kind: 'notSent', reason: string }
  /** It may have been carried out, or may yet be. */
  | { kind: 'unknown', reason: string }

export interface Infrastructure {
  /**
   * Makes a call.
   * @param mayAct asked right before the bytes leave: connecting may have taken longer than the duty lasted
   */
  call: (call: DutyCall, standing: DutyStanding, mayAct: () => boolean, deadlineMs: number, scope: Scope) => Promise<DutyOutcome>
}
