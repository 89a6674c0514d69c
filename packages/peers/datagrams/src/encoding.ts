/**
 * MessagePack encoding of messages. A message is an array of its code and its content; the fields of an object are
 * encoded as their values in the order of the schema.
 */
import * as msgpack from '@msgpack/msgpack';
import * as z from 'zod';
import * as messages from './messages.js';

type Schema = (typeof messages.messageSchema.options)[number];

/** A place of an encoded message: a field, or a value that is sent and not read. */
type Place = { readonly field: string } | { readonly retired: unknown };

interface Layout {
  readonly code: number;
  readonly name: string;
  readonly schema: Schema;
  /** Fields in the order of the schema; undefined if the content is a single value. */
  readonly places: readonly Place[] | undefined;
}

function listPlaces(message: string, fields: readonly string[]): Place[] {
  return fields.flatMap((field): Place[] => {
    const retired = messages.retiredValues[`${message}.${field}`] ?? [];
    return [...retired.map((value) => ({ retired: value })), { field }];
  });
}

const layouts: Layout[] = [];
const layoutByName = new Map<string, Layout>();
for (const [code, schema] of messages.messageSchema.options.entries()) {
  const [name, content] = schema.def.items;
  const text = [...name.values][0] as string;
  const places =
    content instanceof z.ZodObject ? listPlaces(text, Object.keys(content.shape)) : undefined;
  const layout = { code, name: text, schema, places };
  layouts.push(layout);
  layoutByName.set(layout.name, layout);
}

/** Encodes a message as the payload of one datagram. */
export function encodeMessage(message: messages.Message): Uint8Array {
  const [name, content] = message;
  const { code, places } = layoutByName.get(name) as Layout;
  if (places === undefined) {
    return msgpack.encode([code, content]);
  }
  const values = content as unknown as Readonly<Record<string, unknown>>;
  const isPresent = (place: Place): boolean =>
    'field' in place && values[place.field] !== undefined;
  // Optional fields are the last ones and can be left out.
  const present = places.slice(0, places.findLastIndex(isPresent) + 1);
  return msgpack.encode([
    code,
    ...present.map((place) => ('field' in place ? values[place.field] : place.retired)),
  ]);
}

function restoreContent(places: readonly Place[], values: readonly unknown[]): unknown {
  const content: Record<string, unknown> = {};
  for (const [index, place] of places.entries()) {
    if ('field' in place && index + 1 < values.length) {
      content[place.field] = values[index + 1];
    }
  }
  return content;
}

/** Decodes a datagram; returns undefined if it is not a valid message. */
export function decodeMessage(datagram: Uint8Array): messages.Message | undefined {
  let values: unknown;
  try {
    values = msgpack.decode(datagram);
  } catch {
    return undefined;
  }
  if (!Array.isArray(values) || typeof values[0] !== 'number') {
    return undefined;
  }
  const layout = layouts[values[0]];
  if (layout === undefined) {
    return undefined;
  }
  const content = layout.places ? restoreContent(layout.places, values) : (values[1] as unknown);
  const parsed = layout.schema.safeParse([layout.name, content]);
  return parsed.success ? parsed.data : undefined;
}
