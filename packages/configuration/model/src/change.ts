/**
 * Schemas and types of configuration changes, as operators submit them and as the configuration log
 * in the store contains them.
 */
import * as zod from 'zod';
import {
  backendServerSchema,
  entitySchemas,
  organisationSchema,
  routeSchema,
  serviceSchema,
  zoneSchema,
  type EntityKind,
} from './entities.js';

const MAXIMUM_OPERATIONS = 5000;

const entityKindSchema = zod.enum(Object.keys(entitySchemas) as [EntityKind, ...EntityKind[]]);

/** An operation that creates, replaces or removes one entity. */
export const operationSchema = zod.union([
  zod.strictObject({ action: zod.literal('put'), kind: zod.literal('zone'), entity: zoneSchema }),
  zod.strictObject({
    action: zod.literal('put'),
    kind: zod.literal('organisation'),
    entity: organisationSchema,
  }),
  zod.strictObject({
    action: zod.literal('put'),
    kind: zod.literal('service'),
    entity: serviceSchema,
  }),
  zod.strictObject({
    action: zod.literal('put'),
    kind: zod.literal('backendServer'),
    entity: backendServerSchema,
  }),
  zod.strictObject({ action: zod.literal('put'), kind: zod.literal('route'), entity: routeSchema }),
  zod.strictObject({ action: zod.literal('remove'), kind: entityKindSchema, name: zod.string() }),
]);

/** A change that has been submitted but not yet accepted. */
export const changeDraftSchema = zod.strictObject({
  /** Chosen by the author; identifies the change in the log if the store's response was lost. */
  id: zod.string().min(8).max(64),
  /** The revision that the change is based on; the accepted change becomes the next revision. */
  baseRevision: zod.number().int().min(0),
  author: zod.string().min(1).max(200),
  reason: zod.string().min(1).max(2000),
  operations: zod.array(operationSchema).min(1).max(MAXIMUM_OPERATIONS),
});

/** An accepted change, with its revision and the time of acceptance. */
export const changeSchema = changeDraftSchema.extend({
  revision: zod.number().int().min(1),
  acceptedAtEpochMilliseconds: zod.number(),
});

export type Operation = zod.infer<typeof operationSchema>;
export type ChangeDraft = zod.infer<typeof changeDraftSchema>;
/** A draft as an operator writes it, before defaults are applied. */
export type ChangeDraftInput = zod.input<typeof changeDraftSchema>;
export type Change = zod.infer<typeof changeSchema>;
