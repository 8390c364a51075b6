/**
 * Decodes request paths from untrusted callers. A malformed path must lead to a
 * response with status 400 and must not stop the process.
 */

/** Undefined if the percent-encoding is malformed or does not decode to UTF-8. */
export function decodePathSegment (segment: string): string | undefined {
  try {
    return decodeURIComponent(segment)
  } catch {
    // The request is answered with status 400.
    return undefined
  }
}

/** The segments between slashes, without empty segments; undefined if any segment cannot be decoded. */
export function decodePathSegments (path: string): string[] | undefined {
  const segments = path.split('/').filter(Boolean).map(decodePathSegment)
  return segments.every(segment => segment !== undefined) ? segments : undefined
}

/** Parses the target of a request line; undefined if it is not a valid URL. */
export function parseRequestUrl (target: string): URL | undefined {
  return URL.canParse(target, 'http://host') ? new URL(target, 'http://host') : undefined
}
