/**
 * The UDP protocol between entry daemons and dispatchers: message types, their encoding and the socket.
 */
export {
  type Ask,
  type Borrow,
  type Crashes,
  type Grant,
  type Lend,
  type Message,
  type Outcome,
  type Ping,
  type PledgeMessage,
  type Pledged,
  type Pong,
  type Refusal,
  type Report,
} from './messages.js';
export { decodeMessage, encodeMessage } from './encoding.js';
export { type DatagramSocketOptions, type PeerAddress, DatagramSocket } from './socket.js';
