/**
 * `dogwoodstall service`.
 */
import * as cmd from 'cmd-ts';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import type { AdministrationClient } from '../administration-client.js';
import { connectionOptions, jsonFlag, withClient } from '../options.js';
import { formatTable, printData, printLine } from '../output.js';

interface ServiceView {
  readonly service: model.Service;
  readonly backendServers: readonly model.BackendServer[];
  readonly routes: readonly model.Route[];
}

async function readServices(client: AdministrationClient): Promise<ServiceView[]> {
  const services = await client.listEntities('service');
  const servers = await client.listEntities('backendServer');
  const routes = await client.listEntities('route');
  return services.entities.map((service) => ({
    service,
    backendServers: servers.entities.filter((server) => server.service === service.name),
    routes: routes.entities.filter((route) => route.service === service.name),
  }));
}

function sumSlots({ backendServers }: ServiceView): number {
  let slots = 0;
  for (const server of backendServers) {
    slots += server.draining ? 0 : server.slots;
  }
  return slots;
}

function printService({ service, backendServers, routes }: ServiceView): void {
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
    const views = await withClient(connection, readServices);
    if (json) {
      printData(views);
      return;
    }
    const rows = views.map((view) => [
      view.service.name,
      view.service.organisation,
      String(view.backendServers.length),
      String(sumSlots(view)),
      `${view.service.contract.deadlineMilliseconds} ms`,
      String(view.service.contract.healthyCapacityFloor),
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
    const views = await withClient(connection, readServices);
    const view = views.find(({ service }) => service.name === name);
    if (view === undefined) {
      const message = `service "${name}" does not exist or is not under the authority of this token`;
      throw new results.FailureError('ConfigurationNotFound', message);
    }
    if (json) {
      printData(view);
    } else {
      printService(view);
    }
  },
});

/** Prints services. */
export const serviceCommands = cmd.subcommands({
  name: 'service',
  description: 'Print services with their contract, backend servers and routes',
  cmds: { list: listCommand, show: showCommand },
});
