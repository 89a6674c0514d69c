/**
 * `dogwoodstall service`: prints services with their contract, backend servers and routes.
 */
import * as cmd from 'cmd-ts';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import type { AdministrationClient } from '../administration-client.js';
import { connectionOptions, jsonFlag, withClient } from '../options.js';
import { formatTable, printData, printLine } from '../output.js';

interface ServiceDetails {
  readonly service: model.Service;
  readonly backendServers: readonly model.BackendServer[];
  readonly routes: readonly model.Route[];
}

async function readServices(client: AdministrationClient): Promise<ServiceDetails[]> {
  const services = await client.listEntities('service');
  const servers = await client.listEntities('backendServer');
  const routes = await client.listEntities('route');
  return services.entities.map((service) => ({
    service,
    backendServers: servers.entities.filter((server) => server.service === service.name),
    routes: routes.entities.filter((route) => route.service === service.name),
  }));
}

function sumSlots({ backendServers }: ServiceDetails): number {
  let slots = 0;
  for (const server of backendServers) {
    slots += server.draining ? 0 : server.slots;
  }
  return slots;
}

function printService({ service, backendServers, routes }: ServiceDetails): void {
  printLine(`service ${service.name} of organisation ${service.organisation}`);
  const fields = Object.entries(service.contract).map(([field, value]) => [
    `  ${field}`,
    String(value),
  ]);
  printLine(formatTable(fields));
  const serverRows = backendServers.map((server) => [
    server.name,
    server.address,
    server.zone,
    String(server.slots),
    server.draining ? 'draining' : 'in use',
  ]);
  printLine(formatTable([['BACKEND SERVER', 'ADDRESS', 'ZONE', 'SLOTS', 'STATE'], ...serverRows]));
  const routeRows = routes.map((route) => [
    route.name,
    route.methods.join(','),
    `${route.host}${route.pathPrefix}`,
    route.idempotent ? 'idempotent' : 'at most once',
  ]);
  printLine(formatTable([['ROUTE', 'METHODS', 'PATH', 'REPETITION'], ...routeRows]));
}

const listCommand = cmd.command({
  name: 'list',
  description: 'Print the services that the token may read',
  args: { json: jsonFlag, ...connectionOptions },
  handler: async ({ json, ...connection }) => {
    const serviceList = await withClient(connection, readServices);
    if (json) {
      printData(serviceList);
      return;
    }
    const rows = serviceList.map((details) => [
      details.service.name,
      details.service.organisation,
      String(details.backendServers.length),
      String(sumSlots(details)),
      `${details.service.contract.deadlineMilliseconds} ms`,
      String(details.service.contract.healthyCapacityFloor),
    ]);
    const header = ['SERVICE', 'ORGANISATION', 'BACKEND SERVERS', 'SLOTS', 'DEADLINE', 'FLOOR'];
    printLine(formatTable([header, ...rows]));
  },
});

const showCommand = cmd.command({
  name: 'show',
  description: 'Print contract, backend servers and routes of a service',
  args: {
    name: cmd.positional({ displayName: 'NAME' }),
    json: jsonFlag,
    ...connectionOptions,
  },
  handler: async ({ name, json, ...connection }) => {
    const serviceList = await withClient(connection, readServices);
    const details = serviceList.find(({ service }) => service.name === name);
    if (details === undefined) {
      const message = `service "${name}" does not exist or is not under the authority of this token`;
      throw new results.FailureError('ConfigurationNotFound', message);
    }
    if (json) {
      printData(details);
    } else {
      printService(details);
    }
  },
});

/** The subcommands of `dogwoodstall service`. */
export const serviceCommands = cmd.subcommands({
  name: 'service',
  description: 'Print services with their contract, backend servers and routes',
  cmds: { list: listCommand, show: showCommand },
});
