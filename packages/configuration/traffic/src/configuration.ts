/**
 * The configuration of transparent traffic: routes, their destinations, services and limits. Daemons hand it to
 * each other as JSON, so that its types are inferred from schemas.
 */
import * as z from 'zod';

const milliseconds = z.number().positive();

/** One service that a route sends requests to, with its share of them. */
export const destinationSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** A route: which requests it matches, where they go and what they may cost. */
export const routeSchema = z.object({
  name: z.string(),
  /** Lower case, without port. */
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  destinations: z.array(destinationSchema).min(1),
  /** Longest time until the caller's final answer. */
  timeoutMilliseconds: milliseconds,
  /** Time within which an answer is of full use to the caller. */
  targetMilliseconds: milliseconds,
  /** Endpoints that one request may be sent to. */
  maximumAttempts: z.number().int().positive(),
  /** Rank of the route; 0 is served first. */
  priority: z.number().int().nonnegative(),
});

/** What a caller may send and how long its connection may be idle. */
export const limitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerMilliseconds: milliseconds,
  idleMilliseconds: milliseconds,
});

/** A service: the limits of each of its endpoints. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one endpoint accepts from all callers together. */
  connectionLimit: z.number().int().positive(),
});

/** A whole configuration; a higher version replaces a lower one. */
export const trafficConfigurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema,
});

export type Destination = z.infer<typeof destinationSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Limits = z.infer<typeof limitsSchema>;
export type TrafficConfiguration = z.infer<typeof trafficConfigurationSchema>;
