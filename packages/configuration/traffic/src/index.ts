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
export { checkConfiguration } from './configuration-check.js';
export {
  type EntryChange,
  type FieldChange,
  checkVersion,
  compareConfigurations,
} from './configuration-difference.js';
export { type Finding, type FindingKind, findingKinds } from './finding.js';
export { type Endpoint, endpointSchema, isSameLifetime } from './endpoint.js';
export {
  type Organisation,
  OrganisationIndex,
  digestToken,
  organisationSchema,
} from './organisation.js';
export { findUnknownFields } from './unknown-fields.js';
export { RouteIndex, chooseDestination } from './route-index.js';
