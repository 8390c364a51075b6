/**
 * The size that the design is built towards, as docs/DEVELOPERS.md states it,
 * and the assumptions that the page adds where that says nothing.
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
  /** Of one entry host, for control. */
  controlCorePercent: 1.5,
  controlMegabytes: 128,
  controlKilobytesPerSecond: 19,
  failedHostsPerDay: 6,
  restartedHostsPerDay: 110
} as const

export const assumed = {
  /** Endpoints tell a changed load this often. */
  announceEverySeconds: 1,
  announceToHosts: 3,
  /** A step's samples come in evenly over the time between two weight versions. */
  stepSeconds: target.weightsEverySeconds,
  /** Part of the requests that may not be repeated. */
  unrepeatablePart: 0.02,
  commandsPerUnrepeatable: 2,
  /** Tokens a second of one stream, which gives the number of open ones. */
  tokensPerSecondPerStream: 30,
  rackHosts: 20
} as const

export const SECONDS_PER_DAY = 86_400
export const hostsPerDataCentre = target.entryHosts / target.dataCentres
