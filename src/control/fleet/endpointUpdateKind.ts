/**
 * Kinds of endpoint updates, which decide which followers receive them.
 */

/** What an announcement changes for followers. */
export enum EndpointUpdateKind {
  /** Only the weight versions that the endpoint holds; only store hosts select endpoints by these. */
  Weights = 'weights',
  /** The endpoint is new, has a new address, leaves, or announced itself to another control host in between. */
  Endpoint = 'endpoint'
}
