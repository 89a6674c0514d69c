/**
 * Translates the messages about usage limits to datagrams and back.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import type { PledgeContent, UsageMessage } from '@dogwoodstall/grants';

const PLEDGES = 1;
const IS_CERTAIN = 2;
const IS_KEEPING = 4;
const HAS_RESTED = 8;

type UsageDatagram = Extract<
  datagrams.Message,
  readonly ['borrow' | 'lend' | 'pledge' | 'pledged', unknown]
>;

function encodePledge(pledge: PledgeContent | undefined): number {
  if (pledge === undefined) {
    return 0;
  }
  return (
    PLEDGES +
    (pledge.certain ? IS_CERTAIN : 0) +
    (pledge.keeping ? IS_KEEPING : 0) +
    (pledge.rested ? HAS_RESTED : 0)
  );
}

function decodePledge(flags: number): PledgeContent | undefined {
  const has = (flag: number): boolean => Math.floor(flags / flag) % 2 === 1;
  return has(PLEDGES)
    ? { certain: has(IS_CERTAIN), keeping: has(IS_KEEPING), rested: has(HAS_RESTED) }
    : undefined;
}

/** Returns the datagram for a message about the organisations of a group. */
export function encodeUsageMessage(message: UsageMessage, group: number): UsageDatagram {
  switch (message.kind) {
    case 'borrow': {
      const { kind, pledge, ...content } = message;
      return [kind, { ...content, pledge: encodePledge(pledge) }];
    }
    case 'lend': {
      const { kind, ...content } = message;
      return [kind, content];
    }
    case 'pledge': {
      const { kind, pledge, ...content } = message;
      return [kind, { ...content, group, pledge: encodePledge(pledge) }];
    }
    default: {
      const { kind, ...content } = message;
      return [kind, { ...content, group }];
    }
  }
}

/** Returns the message of a datagram, without its group. */
export function decodeUsageMessage(datagram: UsageDatagram): UsageMessage {
  const [kind, content] = datagram;
  switch (kind) {
    case 'borrow':
      return { kind, ...content, pledge: decodePledge(content.pledge) };
    case 'lend':
      return { kind, ...content };
    case 'pledge': {
      const { sequence, purpose, pledge } = content;
      return { kind, sequence, purpose, pledge: decodePledge(pledge) };
    }
    default:
      return { kind, ...content };
  }
}

export type { UsageDatagram };
