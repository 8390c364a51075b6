/**
 * The size for which the system is designed, as stated in docs/DEVELOPERS.md,
 * and the additional assumptions of docs/CAPACITY.md.
 */
export const target = {
  entryHosts: 370,
  engines: 600,
  requestsPerSecond: 2_100,
  tokensPerSecond: 900_000,
  trainers: 5,
  samplesPerStep: 512,
  weightsEverySeconds: 240,
  weightsEverywhereSeconds: 22,
  changesPerDay: 1_600,
  inForceSeconds: 8,
  dataCentres: 4,
  controlHostsAtMost: 6,
  /** Limits on the cost of control on one entry host: processor time, memory and traffic. */
  controlCorePercent: 1.5,
  controlMegabytes: 128,
  controlKilobytesPerSecond: 19,
  failedHostsPerDay: 6,
  restartedHostsPerDay: 110
} as const

export const assumed = {
  /** Interval at which endpoints announce a changed load. */
  announceEverySeconds: 1,
  announceToHosts: 3,
  /** The samples of a step arrive evenly over the interval between two weight versions. */
  stepSeconds: target.weightsEverySeconds,
  /** Fraction of the requests that must not be repeated. */
  unrepeatablePart: 0.02,
  commandsPerUnrepeatable: 2,
  /** Tokens per second of one stream, which determines the number of open streams. */
  tokensPerSecondPerStream: 30,
  rackHosts: 20
} as const

export const SECONDS_PER_DAY = 86_400
export const hostsPerDataCentre = target.entryHosts / target.dataCentres
