/**
 * Wires the roles of one daemon and its planned stop.
 */
export { type DaemonOptions, Daemon, startDaemon } from './daemon.js';
