/**
 * Log events of hosts that follow the control hosts: 1100 to 1149.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum FleetEvent {
  ControlHostFollowed = 1100,
  ControlHostLost = 1101,
  RoutingInForce = 1102,
  RoutingUnconfirmed = 1103,
  EndpointKnown = 1104,
  EndpointLeft = 1105,
  EndpointSilent = 1106,
  WeightsNamed = 1107,
  StoreLeaderKnown = 1108,
  StoreLeaderLost = 1109,
  LeaveBoundShort = 1110,
  RoutingUnreadable = 1111
}

export const fleetEventCatalogue: EventCatalogue = {
  [FleetEvent.ControlHostFollowed]: { level: LogLevel.Info, text: 'This host follows a control host.', advice: 'None.' },
  [FleetEvent.ControlHostLost]: { level: LogLevel.Warn, text: 'A control host no longer answers.', advice: 'Check the control host and the network path to it. This host continues with the state that it knows.' },
  [FleetEvent.RoutingInForce]: { level: LogLevel.Info, text: 'A routing configuration is in force on this host.', advice: 'None.' },
  [FleetEvent.RoutingUnconfirmed]: { level: LogLevel.Warn, text: 'A routing configuration is in force that no quorum has confirmed.', advice: 'Check for a lost quorum of the control hosts.' },
  [FleetEvent.EndpointKnown]: { level: LogLevel.Info, text: 'An endpoint has been discovered or has changed.', advice: 'None.' },
  [FleetEvent.EndpointLeft]: { level: LogLevel.Info, text: 'An endpoint is leaving or has left; it gets no new requests.', advice: 'None.' },
  [FleetEvent.EndpointSilent]: { level: LogLevel.Warn, text: 'An endpoint sends no heartbeats and is no longer used.', advice: 'Check the endpoint.' },
  [FleetEvent.WeightsNamed]: { level: LogLevel.Info, text: 'A newer version of the weights was named for a model.', advice: 'None.' },
  [FleetEvent.StoreLeaderKnown]: { level: LogLevel.Info, text: 'The batch store has a leader, or its leader has changed.', advice: 'None.' },
  [FleetEvent.StoreLeaderLost]: { level: LogLevel.Warn, text: 'No control host knows of a leader of the batch store.', advice: 'A new one is elected within about a second, as long as more than half of the store hosts are up.' },
  [FleetEvent.LeaveBoundShort]: { level: LogLevel.Warn, text: 'The configured drain time of endpoints is shorter than this host may take to learn of a leave.', advice: 'Raise bounds.drainMs; otherwise a request may reach a leaving endpoint too late when pushes are lost.' },
  [FleetEvent.RoutingUnreadable]: { level: LogLevel.Error, text: 'A control host sent a routing configuration that this host cannot read; it stays with the version that it has.', advice: 'Check that this host and the control host run the same build.' }
}
