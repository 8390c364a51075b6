/**
 * How full a service is: what one host counts of it, and the sum over all hosts that
 * count. All rates are per second. Sums of rates are rates again, so that the counts of
 * any set of hosts have one form.
 */
import { z } from 'zod'

/** Demand of one client account within a class. */
export const accountDemandSchema = z.object({
  account: z.string(),
  arrivalsPerS: z.number().min(0)
})
export type AccountDemand = z.infer<typeof accountDemandSchema>

/** Demand of the requests of one priority. */
export const classDemandSchema = z.object({
  /** 0 is the most urgent. */
  priority: z.number(),
  /** First tries of callers. */
  firstTriesPerS: z.number().min(0),
  /** Requests of callers that were refused before. */
  returnsPerS: z.number().min(0),
  /** Requests refused for lack of room, returns included. */
  refusedPerS: z.number().min(0),
  /** The accounts with the largest demand; absent where requests run for no account. */
  accounts: z.array(accountDemandSchema).optional()
})
export type ClassDemand = z.infer<typeof classDemandSchema>

/** Load of the endpoints of one data centre: the sums over all answers of what each one reported. */
export const dataCentreLoadSchema = z.object({
  dataCentre: z.string(),
  /** Answers that reported a load. */
  answersPerS: z.number().min(0),
  /** Sum of their durations. */
  durationsMsPerS: z.number().min(0),
  /** Sums of the requests running and waiting, and of the slots, at the endpoints that answered. */
  runningPerS: z.number().min(0),
  waitingPerS: z.number().min(0),
  slotsPerS: z.number().min(0)
})
export type DataCentreLoad = z.infer<typeof dataCentreLoadSchema>

export const serviceFiguresSchema = z.object({
  service: z.string(),
  /** The fleet's time of day at which the figures were counted; of a sum, the mean of its parts, so that one silent host does not make the sum old. */
  countedAtWallMs: z.number(),
  classes: z.array(classDemandSchema),
  dataCentres: z.array(dataCentreLoadSchema)
})
export type ServiceFigures = z.infer<typeof serviceFiguresSchema>

export const serviceTotalsSchema = serviceFiguresSchema.extend({
  /** Hosts whose figures are in the sum. */
  hostsCount: z.int().min(1)
})
export type ServiceTotals = z.infer<typeof serviceTotalsSchema>

/** Figures, and sums that contain them, no longer count at this age: four calls of a host, so that three may be lost. */
export const FIGURES_LIFETIME_MS = 2_000
/** Accounts named in a class: the few that can crowd out others. */
export const MAX_NAMED_ACCOUNTS_COUNT = 8

/** The accounts with the largest demand, the largest first. */
export function heaviestAccounts (demands: readonly AccountDemand[]): AccountDemand[] {
  return [...demands].sort((left, right) => right.arrivalsPerS - left.arrivalsPerS).slice(0, MAX_NAMED_ACCOUNTS_COUNT)
}
