/**
 * Starts the stand-ins of a local fleet as separate processes.
 */
import { createRequire } from 'node:module';
import * as path from 'node:path';
import type * as standIns from '@dogwoodstall/stand-ins';
import { ControlClient } from './control-client.js';
import { ManagedProcess } from './managed-process.js';
import type { ServiceDescription } from './topology.js';

const entryPoint = createRequire(import.meta.url).resolve('@dogwoodstall/stand-ins');
const programFile = path.join(path.dirname(entryPoint), 'program.js');

/** One stand-in process. */
export interface StandInProcess {
  readonly process: ManagedProcess;
  /** Service address; empty for stand-ins that have only a control address. */
  readonly address: string;
  readonly control: ControlClient;
  /** The backend servers; empty for other stand-ins. */
  readonly servers: readonly standIns.BackendListing[];
}

/** The line of JSON that a stand-in prints when it listens. */
interface StartupMessage {
  readonly address?: string;
  readonly control: string;
  readonly servers?: readonly standIns.BackendListing[];
}

/** Starts a subcommand of the stand-ins program and waits until it listens. */
export async function startStandIn(
  subcommand: string,
  commandArguments: readonly string[] = [],
): Promise<StandInProcess> {
  const started = new ManagedProcess(subcommand, [programFile, subcommand, ...commandArguments]);
  const message = JSON.parse(await started.waitForFirstLine()) as StartupMessage;
  return {
    process: started,
    address: message.address ?? '',
    control: new ControlClient(message.control),
    servers: message.servers ?? [],
  };
}

/** Starts the backend servers of one service in one process. */
export async function startBackends(
  service: ServiceDescription,
  seed: number,
): Promise<StandInProcess> {
  const servers = Array.from({ length: service.serverCount }, (_, index) => ({
    name: `${service.name}-${index + 1}`,
    slots: service.slots,
    connectionLimit: service.connectionLimit,
    workMilliseconds: service.workMilliseconds,
    variation: service.variation,
    coldStartFactor: service.coldStartFactor,
    coldStartMilliseconds: service.coldStartMilliseconds,
    seed: seed + index,
  }));
  return startStandIn('backends', ['--servers', JSON.stringify(servers)]);
}
