/**
 * The capacity of an entry host, from the limits that its settings state. The
 * load it answers: hosts of 0.2 to 0.9 cores stand under one service and must get
 * callers in proportion to what they can carry.
 *
 * Capacity is given in cores: requests of a kilobyte or two use up the processor
 * first. A link, descriptors or memory count only where they are too small for the
 * requests that the processor could handle.
 */

/** Limits of a host; those that are undefined are not known. */
export interface HostLimits {
  /** Share of a core, times the speed of the cores. */
  processorCores?: number | undefined
  linkMbps?: number | undefined
  maxDescriptorsCount?: number | undefined
  memoryBytes?: number | undefined
}

/** A core forwards about 500 small requests a second, each with 3 KB on its way in and out. */
const LINK_MBPS_PER_CORE = 12
/** Connections of the callers and to the endpoints that a core keeps busy. */
const CONNECTIONS_PER_CORE = 2_000
/** Memory for the requests that a core has in progress. */
const MEMORY_BYTES_PER_CORE = 100 * 1024 * 1024
/** Memory of an idle process: the runtime, the code and the routing configuration. */
export const IDLE_MEMORY_BYTES = 100 * 1024 * 1024
/** Descriptors for files, listeners and connections within the fleet. */
export const RESERVED_DESCRIPTORS_COUNT = 400

/** Capacity in cores; undefined if the processor limit is not known. */
export function capacityOf ({ processorCores, linkMbps, maxDescriptorsCount, memoryBytes }: HostLimits): number | undefined {
  if (processorCores === undefined) return undefined
  const bounds = [processorCores]
  if (linkMbps !== undefined) bounds.push(linkMbps / LINK_MBPS_PER_CORE)
  if (maxDescriptorsCount !== undefined) bounds.push((maxDescriptorsCount - RESERVED_DESCRIPTORS_COUNT) / CONNECTIONS_PER_CORE)
  if (memoryBytes !== undefined) bounds.push((memoryBytes - IDLE_MEMORY_BYTES) / MEMORY_BYTES_PER_CORE)
  return Math.max(MIN_CAPACITY_CORES, Math.min(...bounds))
}

/** A host that serves at all gets some callers. */
const MIN_CAPACITY_CORES = 0.01
