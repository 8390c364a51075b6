/**
 * Groups the engines of a service by their lasting time per event. Engines may differ
 * by nature, such as by their accelerators, and apart from that slow down for a while.
 * Kinds tell the first from the second: they rest on baselines alone.
 */
import type { Engine } from './engineFleet.js'

/** Baselines within this ratio belong to one kind. A full batch alone makes an engine 1.13 times slower. */
export const KIND_RATIO = 1.15

/** Engines of one lasting pace. */
export interface EngineKind {
  /** Mean baseline of the engines. */
  gapMs: number
  engines: Engine[]
  /** Events that all slots of the kind generate in a millisecond. */
  eventsPerMs: number
}

/** The kinds of some engines, fastest first; an engine without a baseline belongs to none. */
export function kindsOf (engines: readonly Engine[]): EngineKind[] {
  const known = engines
    .flatMap(engine => (engine.pace.baselineGapMs === undefined ? [] : [{ engine, gapMs: engine.pace.baselineGapMs }]))
    .sort((left, right) => left.gapMs - right.gapMs)
  const groups: Array<typeof known> = []
  for (const each of known) {
    const group = groups.at(-1)
    const fastest = group?.[0]
    if (group && fastest && each.gapMs <= KIND_RATIO * fastest.gapMs) group.push(each)
    else groups.push([each])
  }
  return groups.map(group => kindOf(group))
}

function kindOf (group: ReadonlyArray<{ engine: Engine, gapMs: number }>): EngineKind {
  const gapMs = group.reduce((sumMs, each) => sumMs + each.gapMs, 0) / group.length
  const engines = group.map(({ engine }) => engine)
  const slotsCount = engines.reduce((sum, { endpoint }) => sum + endpoint.slotsCount, 0)
  return { gapMs, engines, eventsPerMs: slotsCount / gapMs }
}
