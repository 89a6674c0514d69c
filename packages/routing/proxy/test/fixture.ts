/**
 * Starts in-process daemons and backend servers on loopback for the tests of this package.
 */
import { once } from 'node:events';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as net from 'node:net';
import type { TestContext } from 'node:test';
import type { DispatchRequest, SlotGrant } from '@dogwoodstall/dispatch';
import type { AttemptOutcome } from '@dogwoodstall/health';
import * as idempotency from '@dogwoodstall/idempotency';
import * as model from '@dogwoodstall/model';
import { Pool } from 'undici';
import * as proxy from '../src/index.js';

const CELL = 'shop/r/0';
const FLEET_KEY = Buffer.alloc(32, 7);

/** A daemon assembled from the components of this package. */
export interface TestDaemon {
  readonly name: string;
  readonly entry: proxy.EntryServer;
  readonly server: proxy.ExchangeServer;
  readonly home: idempotency.KeyHome;
  readonly peer: proxy.PeerTarget;
  readonly peerServer: http.Server;
  readonly port: number;
  readonly outcomes: AttemptOutcome[];
  readonly decisions: proxy.Decision[];
}

/** A dispatch target; its cell is `CELL` unless a test names another one. */
export type TestTarget =
  | { readonly kind: 'local'; readonly cell?: string }
  | { readonly kind: 'peer'; readonly cell?: string; readonly peer: proxy.PeerTarget };

/** Configuration and hooks shared by the daemons of a test. */
export interface TestFleet {
  backends: string[];
  planDispatch: (daemon: string) => TestTarget[];
  locateKeyHome: (daemon: string, home: string) => proxy.KeyLocation;
  keyHomeName: string;
  successor: proxy.PeerTarget | undefined;
  contract: Partial<model.Contract>;
  limits: Partial<proxy.CallerLimits>;
  balancerMilliseconds: number;
  keepAliveMilliseconds: number;
  bodyLimit: number;
  /** Slot requests wait for this promise before they are granted. */
  slotsGranted: Promise<void>;
  /** Number of slot requests. */
  slotRequests: number;
  tls?: proxy.TlsCredentials;
}

/** Creates the shared configuration; by default each daemon dispatches the requests it receives. */
export function createFleet(backends: string[], changes: Partial<TestFleet> = {}): TestFleet {
  return {
    backends,
    planDispatch: () => [{ kind: 'local' }],
    locateKeyHome: (daemon, home) => (daemon === home ? { kind: 'local' } : { kind: 'lost' }),
    keyHomeName: 'daemon-a',
    successor: undefined,
    contract: {},
    limits: {},
    balancerMilliseconds: 20,
    keepAliveMilliseconds: 200,
    bodyLimit: 100_000_000,
    slotsGranted: Promise.resolve(),
    slotRequests: 0,
    ...changes,
  };
}

function createConfiguration(fleet: TestFleet): model.Configuration {
  const route = { service: 'shop', host: 'shop.test', methods: ['GET', 'HEAD', 'POST', 'PUT'] };
  const routes = [
    { ...route, name: 'read', pathPrefix: '/', idempotent: true },
    { ...route, name: 'write', pathPrefix: '/write', idempotent: false },
  ];
  const digest = '0'.repeat(64);
  const operations = [
    { kind: 'zone', entity: { name: 'a', region: 'r' } },
    { kind: 'organisation', entity: { name: 'owner', callerTokenDigests: [digest] } },
    { kind: 'service', entity: { name: 'shop', organisation: 'owner', contract: fleet.contract } },
    ...routes.map((entity) => ({
      kind: 'route',
      entity: { ...entity, maximumBodyBytes: fleet.bodyLimit },
    })),
  ].map((operation) => model.operationSchema.parse({ action: 'put', ...operation }));
  return model.Configuration.fromOperations(1, operations);
}

function createAcquire(
  fleet: TestFleet,
  outcomes: AttemptOutcome[],
): (cell: string, request: DispatchRequest) => Promise<SlotGrant> {
  return async (_cell, request) => {
    Object.assign(fleet, { slotRequests: fleet.slotRequests + 1 });
    await fleet.slotsGranted;
    const available = fleet.backends.filter((address) => !request.excludedEndpoints.has(address));
    const address = available[0] ?? fleet.backends[0] ?? '';
    let released = false;
    return {
      endpoint: {
        name: address,
        service: 'shop',
        address,
        zone: 'a',
        slots: 2,
        connectionLimit: 8,
        draining: false,
      },
      queuedMilliseconds: 0,
      release: (outcome) => {
        if (released) {
          throw new Error('the slot was released twice');
        }
        released = true;
        outcomes.push(outcome);
      },
    };
  };
}

/** Starts a daemon that stops with the test. */
export async function startDaemon(
  context: TestContext,
  fleet: TestFleet,
  name = 'daemon-a',
): Promise<TestDaemon> {
  const configuration = createConfiguration(fleet);
  const outcomes: AttemptOutcome[] = [];
  const decisions: proxy.Decision[] = [];
  const backend = new proxy.BackendClient({ connectTimeoutMilliseconds: 1000 });
  const retryBudget = new proxy.RetryBudget();
  const keyIssuer = new idempotency.KeyIssuer({ fleetKeys: [FLEET_KEY] });
  const home = new idempotency.KeyHome({ incarnation: `${name}-1` });
  const server = new proxy.ExchangeServer({
    onDecision: (decision) => decisions.push(decision),
    onUnexpectedError: (_id, error) => context.diagnostic(String(error)),
  });
  const runner = new proxy.DispatchRunner({
    acquire: createAcquire(fleet, outcomes),
    backend,
    retryBudget,
  });
  const router = new proxy.RequestRouter({
    daemonName: name,
    planDispatch: () => fleet.planDispatch(name).map((target) => ({ cell: CELL, ...target })),
    isReachable: () => true,
    locateKeyHome: (homeName) => fleet.locateKeyHome(name, homeName),
    findSuccessor: async () => fleet.successor,
    keyIssuer,
    keyHome: home,
    runner,
    forwarder: new proxy.PeerForwarder(new proxy.LinkMonitor()),
    retryBudget,
  });
  const findConfiguration = (): model.Configuration => configuration;
  const receiver = new proxy.ForwardReceiver({ server, router, findConfiguration });
  const peerServer = http.createServer((request, response) => {
    receiver.handle(request, response);
  });
  peerServer.listen(0, '127.0.0.1');
  await once(peerServer, 'listening');
  const baseUrl = `http://127.0.0.1:${(peerServer.address() as AddressInfo).port}`;
  const dispatcher = new Pool(baseUrl, { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
  const entry = new proxy.EntryServer({
    server,
    router,
    findConfiguration,
    keyIssuer,
    chooseKeyHome: () => ({ home: fleet.keyHomeName, incarnation: `${fleet.keyHomeName}-1` }),
    zone: 'a',
    isReady: () => true,
    balancerMilliseconds: fleet.balancerMilliseconds,
    keepAliveMilliseconds: fleet.keepAliveMilliseconds,
    tls: fleet.tls,
    limits: {
      headerBytes: 8192,
      headerMilliseconds: 10_000,
      bodyPauseMilliseconds: 10_000,
      callerConnections: 100,
      requestsInFlight: 100,
      ...fleet.limits,
    },
  });
  const { port } = await entry.listen('127.0.0.1', 0);
  context.after(async () => {
    entry.close();
    peerServer.close();
    peerServer.closeAllConnections();
    await dispatcher.destroy();
  });
  const peer = { name, dispatcher, baseUrl };
  return { name, entry, server, home, peer, peerServer, port, outcomes, decisions };
}

/** An HTTP backend server. */
export interface TestBackend {
  readonly address: string;
  readonly requests: http.IncomingMessage[];
  readonly server: http.Server;
}

/** Starts an HTTP backend server that stops with the test. */
export async function startBackend(
  context: TestContext,
  serve: http.RequestListener,
): Promise<TestBackend> {
  const requests: http.IncomingMessage[] = [];
  const server = http.createServer((request, response) => {
    requests.push(request);
    serve(request, response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, requests, server };
}

/** Starts a TCP server, scripted by the test, that stops with the test. */
export async function startRawBackend(
  context: TestContext,
  serve: (socket: net.Socket) => void,
): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    serve(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
    for (const socket of sockets) {
      socket.destroy();
    }
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Returns a loopback address on which nothing listens. */
export async function findClosedAddress(): Promise<string> {
  const server = net.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
}

/** A response as the caller sees it; `truncated` if the connection closed before its end. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly truncated: boolean;
}

/** Options of `call`. */
export interface CallOptions {
  readonly path?: string;
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  readonly agent?: http.Agent;
}

/** Sends a request as a caller and reads the complete response. */
export function call(port: number, options: CallOptions = {}): Promise<CallerResponse> {
  const { path = '/', method = 'GET', headers = {}, body, agent } = options;
  return new Promise((resolve, reject) => {
    const request = http.request(
      { host: '127.0.0.1', port, path, method, agent, headers: { host: 'shop.test', ...headers } },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => {});
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            truncated: !response.complete,
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

/** Sends raw bytes and returns everything received until the connection closes. */
export function callRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    socket.on('error', reject);
    socket.on('close', () => resolve(received));
  });
}
