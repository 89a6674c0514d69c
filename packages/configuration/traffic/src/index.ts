/**
 * Routes, destinations, limits and endpoints of transparent traffic.
 */
export {
  type Destination,
  type Limits,
  type Route,
  type TrafficConfiguration,
  trafficConfigurationSchema,
} from './configuration.js';
export { type Endpoint, endpointSchema, isSameLifetime } from './endpoint.js';
export { RouteIndex, chooseDestination } from './route-index.js';
