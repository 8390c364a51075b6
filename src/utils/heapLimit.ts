/**
 * The limit of the heap of this process, as Node.js was told or took from the memory of the machine.
 */
import { getHeapStatistics } from 'node:v8'

export function heapLimitBytes (): number {
  return getHeapStatistics().heap_size_limit
}
