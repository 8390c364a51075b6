/** Statuses that an answer may have; those below are informational or none. */
const MIN_STATUS = 200
const MAX_STATUS = 599

/** Whether an answer may have the status; HTTP clients pass on others as well. */
export function isAnswerStatus (status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS
}
