/**
 * Paths of requests as anybody may send them: one that is not encoded as it
 * should be is an answer of 400, and must not stop the process.
 */

/** Undefined for a text whose escapes are no UTF-8. */
export function decodePathSegment (segment: string): string | undefined {
  try {
    return decodeURIComponent(segment)
  } catch {
    // The caller is answered that the path cannot be read.
    return undefined
  }
}

/** The parts between slashes, without empty ones; undefined when one cannot be decoded. */
export function decodePathSegments (path: string): string[] | undefined {
  const segments = path.split('/').filter(Boolean).map(decodePathSegment)
  return segments.every(segment => segment !== undefined) ? segments : undefined
}

/** The path and query of a request line; undefined when it is no URL. */
export function parseRequestUrl (target: string): URL | undefined {
  return URL.canParse(target, 'http://host') ? new URL(target, 'http://host') : undefined
}
