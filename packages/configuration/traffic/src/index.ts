/**
 * Routes, destinations, organisations, limits, endpoints and their announcements, of transparent traffic.
 */
export {
  type Announcement,
  announcementSchema,
  isEmptyAnnouncement,
  noAnnouncement,
} from './announcement.js';
export {
  type Destination,
  type Limits,
  type Route,
  type TrafficConfiguration,
  trafficConfigurationSchema,
} from './configuration.js';
export { type Endpoint, endpointSchema, isSameLifetime } from './endpoint.js';
export {
  type Organisation,
  OrganisationIndex,
  digestToken,
  organisationSchema,
} from './organisation.js';
export { RouteIndex, chooseDestination } from './route-index.js';
