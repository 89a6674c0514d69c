/**
 * The configuration of transparent traffic: routes, their destinations, services, organisations and limits. Daemons exchange it as
 * JSON and validate it on receipt, so the types are inferred from schemas.
 */
import * as z from 'zod';
import { organisationSchema } from './organisation.js';

const milliseconds = z.number().positive();

/** A service that a route sends requests to, with its relative weight. */
export const destinationSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** A route: the requests that it matches, their destinations and their time and retry limits. */
export const routeSchema = z.object({
  name: z.string(),
  /** Host name in lower case, without a port. */
  host: z.string(),
  /** Path prefix; starts and ends with a slash. */
  prefix: z.string(),
  /** Whether a request may be executed more than once. */
  idempotent: z.boolean(),
  destinations: z.array(destinationSchema).min(1),
  /** Maximum time until the caller receives the final response. */
  timeoutMilliseconds: milliseconds,
  /** Target latency: a response within this time is of full use to the caller. */
  targetMilliseconds: milliseconds,
  /** Maximum number of endpoints that a request is sent to. */
  maximumAttempts: z.number().int().positive(),
  /** Priority of the route; 0 is served first. */
  priority: z.number().int().nonnegative(),
  /** Whether callers need no token although the configuration has organisations. */
  anonymous: z.boolean().optional(),
});

/** Size and time limits of requests, and the idle timeout of callers' connections. */
export const limitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerMilliseconds: milliseconds,
  idleMilliseconds: milliseconds,
});

/** A service and the limits of each of its endpoints. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Maximum number of connections that one endpoint accepts from all callers together. */
  connectionLimit: z.number().int().positive(),
});

/** A complete configuration; a higher version replaces a lower one. */
export const trafficConfigurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  /** The organisations whose tokens callers need; if absent, callers need none. */
  organisations: z.array(organisationSchema).optional(),
  limits: limitsSchema,
});

export type Destination = z.infer<typeof destinationSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Limits = z.infer<typeof limitsSchema>;
export type TrafficConfiguration = z.infer<typeof trafficConfigurationSchema>;
