/**
 * Log events of the memory of a process: 910 to 919. They belong to every
 * program on the platform.
 */
import { LogLevel, type EventCatalogue } from './eventCatalogue.js'

export enum MemoryEvent {
  LevelPassed = 910,
  LevelLeft = 911
}

export const memoryEventCatalogue: EventCatalogue = {
  [MemoryEvent.LevelPassed]: { level: LogLevel.Warn, text: 'The resident memory of this process has passed a level of what its host allows it.', advice: 'At 85 percent find out what grows: the heap (heapBytes), buffers (externalBytes), or neither. At 95 percent expect that the process is ended; see "When accepted batches can\'t be read" in OPERATIONS.md.' },
  [MemoryEvent.LevelLeft]: { level: LogLevel.Info, text: 'The resident memory of this process is below a level again.', advice: 'None.' }
}
