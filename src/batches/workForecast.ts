/**
 * What the steps of trained models need of engines, from what was seen of them: items,
 * mean length and interval of the steps, and the pace of the engines. Engines are
 * ordered by it.
 */
import type { Engine } from '../batchScheduling/engineFleet.js'
import type { ModelDemand } from '../batchScheduling/modelDemand.js'
import type { StepWork, WorkForecast } from '../engineSupply/supplyPlan.js'

/** Assumed until the interval of a trainer was observed. */
const ASSUMED_STEP_INTERVAL_MS = 4_000

/**
 * The forecast for the models of a service; undefined until samples of each have shown how long they take.
 *
 * @param openWorkMs the time that all open items still need
 */
export function workForecastOf (engines: readonly Engine[], models: readonly string[], demand: ModelDemand, openWorkMs: number): WorkForecast | undefined {
  const gapsMs = engines.flatMap(({ pace }) => pace.baselineGapMs ?? [])
  if (gapsMs.length === 0) return undefined
  const gapMs = sum(gapsMs) / gapsMs.length
  const steps = models.flatMap((model): StepWork[] => {
    const itemsCount = demand.stepItemsCount(model)
    const eventsCount = demand.meanEventsCount(model)
    if (itemsCount === undefined || eventsCount === undefined) return []
    return [{ itemsCount, itemMs: eventsCount * gapMs, intervalMs: demand.versionIntervalMs(model) ?? ASSUMED_STEP_INTERVAL_MS }]
  })
  if (steps.length < models.length) return undefined
  return { steps, openWorkMs, presentSlotsCount: sum(engines.map(({ endpoint }) => endpoint.slotsCount)) }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
