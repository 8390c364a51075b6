/**
 * Log events about the memory of a process: 910 to 919. Every program on the
 * platform includes them.
 */
import { LogLevel, type EventCatalogue } from './eventCatalogue.js'

export enum MemoryEvent {
  LevelReached = 910,
  LevelCleared = 911,
  Unreadable = 912,
  ReadAgain = 913
}

export const memoryEventCatalogue: EventCatalogue = {
  [MemoryEvent.LevelReached]: { level: LogLevel.Warn, text: 'The resident memory of this process has reached a warning level of its memory limit.', advice: 'At 85 percent find out what grows: the heap (heapBytes), buffers (externalBytes), or neither. At 95 percent expect the host to kill the process; see "When accepted batches can\'t be read" in OPERATIONS.md.' },
  [MemoryEvent.LevelCleared]: { level: LogLevel.Info, text: 'The resident memory of this process is below a warning level again.', advice: 'None.' },
  [MemoryEvent.Unreadable]: { level: LogLevel.Warn, text: 'The resident memory of this process cannot be read; the last reading holds.', advice: 'EMFILE: clients or endpoints hold all descriptors that the process may open; compare clients_connections with maxDescriptorsCount of the settings.' },
  [MemoryEvent.ReadAgain]: { level: LogLevel.Info, text: 'The resident memory of this process can be read again.', advice: 'None.' }
}
