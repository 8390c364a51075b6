/**
 * How far an announcement of an endpoint has to be told.
 */

/** What an announcement has in it that followers do not know. */
export enum EndpointNews {
  /** Only the versions of weights that it holds, which store hosts alone choose by. */
  Weights = 'weights',
  /** It is new, has moved, leaves, or was heard by another control host in between. */
  Endpoint = 'endpoint'
}
