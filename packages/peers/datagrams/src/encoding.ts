/**
 * MessagePack encoding of messages. A message is an array of its code and its content; the fields of an object are
 * encoded as their values in the order of the schema.
 */
import * as msgpack from '@msgpack/msgpack';
import * as z from 'zod';
import * as messages from './messages.js';

type Schema = (typeof messages.messageSchema.options)[number];

interface Layout {
  readonly code: number;
  readonly name: string;
  readonly schema: Schema;
  /** Field names in the order of the schema; undefined if the content is a single value. */
  readonly fields: readonly string[] | undefined;
}

const layouts: Layout[] = [];
const layoutByName = new Map<string, Layout>();
for (const [code, schema] of messages.messageSchema.options.entries()) {
  const [name, content] = schema.def.items;
  const fields = content instanceof z.ZodObject ? Object.keys(content.shape) : undefined;
  const layout = { code, name: [...name.values][0] as string, schema, fields };
  layouts.push(layout);
  layoutByName.set(layout.name, layout);
}

/** Encodes a message as the payload of one datagram. */
export function encodeMessage(message: messages.Message): Uint8Array {
  const [name, content] = message;
  const { code, fields } = layoutByName.get(name) as Layout;
  if (fields === undefined) {
    return msgpack.encode([code, content]);
  }
  const values = content as unknown as Readonly<Record<string, unknown>>;
  return msgpack.encode([code, ...fields.map((field) => values[field])]);
}

function restoreContent(fields: readonly string[], values: readonly unknown[]): unknown {
  const content: Record<string, unknown> = {};
  for (const [index, field] of fields.entries()) {
    content[field] = values[index + 1];
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
  const content = layout.fields ? restoreContent(layout.fields, values) : (values[1] as unknown);
  const parsed = layout.schema.safeParse([layout.name, content]);
  return parsed.success ? parsed.data : undefined;
}
