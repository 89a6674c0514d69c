/**
 * Starts the roles of a daemon and shuts them down gracefully.
 */
export { type DaemonOptions, Daemon, startDaemon } from './daemon.js';
