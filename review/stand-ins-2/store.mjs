/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: items with revisions, ranges, watches, transactions and
 * leases. The operator and the endpoints of a test write to it directly; daemons reach it through a `Gate` each.
 */
import * as http from 'node:http';
import * as net from 'node:net';

const HISTORY_MILLISECONDS = 20_000;
const PAGE_ITEMS = 500;
const ANSWER_MILLISECONDS = 4;

export class Store {
  revision = 100;

  era = 1;

  items = new Map();

  events = [];

  /** Revision from which on the history is kept. */
  firstRevision = 100;

  leases = new Map();

  lastLease = 1000;

  waiting = new Set();

  server = http.createServer((request, response) => {
    this.serve(request, response).catch(() => response.destroy());
  });

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    const { address, port } = this.server.address();
    this.address = `${address}:${port}`;
    this.timer = setInterval(() => this.expire(), 100);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value as the operator or an endpoint does; returns the revision. */
  put(key, value, lease = 0) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return this.commit([{ key, value: Buffer.from(text).toString('base64'), lease }], []);
  }

  remove(key) {
    return this.commit([], [key]);
  }

  /** Returns a function that puts the store back to its present content, as after a drill. */
  copy() {
    const items = new Map(this.items);
    const { revision } = this;
    return () => {
      this.era += 1;
      this.items = new Map(items);
      this.revision = revision;
      this.events = this.events.filter(({ rev }) => rev <= revision);
      this.leases.clear();
    };
  }

  commit(writes, deletes) {
    this.revision += 1;
    const rev = this.revision;
    for (const { key, value, lease = 0 } of writes) {
      const createdRev = this.items.get(key)?.created_rev ?? rev;
      const item = { key, value, rev, created_rev: createdRev, lease };
      this.items.set(key, item);
      this.events.push({ ...item, at: performance.now() });
    }
    for (const key of deletes) {
      if (this.items.delete(key)) {
        this.events.push({ key, rev, removed: true, at: performance.now() });
      }
    }
    for (const wake of this.waiting) {
      wake();
    }
    return rev;
  }

  expire() {
    const now = performance.now();
    for (const [id, { endsAt }] of this.leases) {
      if (now >= endsAt) {
        this.endLease(id);
      }
    }
    while (this.events.length > 0 && this.events[0].at < now - HISTORY_MILLISECONDS) {
      this.firstRevision = this.events.shift().rev;
    }
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.items.values()].filter(({ lease }) => lease === id);
    if (keys.length > 0) {
      this.commit(
        [],
        keys.map(({ key }) => key),
      );
    }
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    let text = '';
    for await (const chunk of request) {
      text += chunk;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, ANSWER_MILLISECONDS);
    });
    const [status, body] = await this.call(
      request.method,
      url.pathname,
      url.searchParams,
      text === '' ? {} : JSON.parse(text),
      response,
    );
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    });
    response.end(JSON.stringify(body));
  }

  async call(method, path, query, body, response) {
    if (method === 'GET' && path === '/-/kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined ? [404, {}] : [200, { ...item, current_rev: this.revision }];
    }
    if (method === 'GET' && path === '/-/kv-range') {
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
      const page = keys.sort().slice(0, PAGE_ITEMS);
      const items = page.map((key) => this.items.get(key));
      return [200, { items, has_more: keys.length > page.length, current_rev: this.revision }];
    }
    if (method === 'GET' && path === '/-/kv-watch') {
      return this.watch(query, response);
    }
    if (method === 'POST' && path === '/-/kv-txn') {
      return this.transact(body);
    }
    if (method === 'POST' && path === '/-/kv-lease') {
      this.lastLease += 1;
      this.leases.set(this.lastLease, {
        endsAt: performance.now() + body.ttl_ms,
        ttl: body.ttl_ms,
      });
      return [200, { lease: this.lastLease, ttl_ms: body.ttl_ms }];
    }
    const [, verb, id] = /^\/-\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(path) ?? [];
    const lease = this.leases.get(Number(id));
    if (verb === undefined || lease === undefined) {
      return [404, {}];
    }
    if (verb === 'kv-lease-end') {
      this.endLease(Number(id));
      return [200, {}];
    }
    lease.endsAt = performance.now() + lease.ttl;
    return [200, { ttl_ms: lease.ttl }];
  }

  async watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const endsAt = performance.now() + Math.min(30_000, Number(query.get('wait_ms')));
    const { era } = this;
    for (;;) {
      if (after < this.firstRevision || after > this.revision || era !== this.era) {
        return [410, {}];
      }
      const events = this.events
        .filter(({ key, rev }) => key.startsWith(prefix) && rev > after)
        .map(({ at, ...event }) => event);
      const left = endsAt - performance.now();
      if (events.length > 0 || left <= 0 || response.destroyed) {
        return [200, { events, current_rev: this.revision }];
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, left);
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        this.waiting.add(wake);
      });
    }
  }

  transact({ expected_rev: expected = [], writes = [], deletes = [] }) {
    const keys = [...writes.map(({ key }) => key), ...deletes];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
      return [403, {}];
    }
    if (expected.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)) {
      return [412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      return [404, {}];
    }
    return [200, { rev: this.commit(writes, deletes) }];
  }
}

/** A path of one machine to an address; while it is cut, no byte passes in either direction. */
export class Gate {
  isCut = false;

  pairs = new Set();

  /** Time of the last call of each kind that came through, by path. */
  lastCallAt = new Map();

  constructor(target) {
    this.target = target;
    this.server = net.createServer((near) => this.connect(near));
  }

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    const { address, port } = this.server.address();
    this.address = `${address}:${port}`;
  }

  cut() {
    this.isCut = true;
    for (const { near, far } of this.pairs) {
      near.pause();
      far?.pause();
    }
  }

  heal() {
    this.isCut = false;
    for (const pair of this.pairs) {
      this.open(pair);
      pair.near.resume();
      pair.far.resume();
    }
  }

  close() {
    this.server.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far?.destroy();
    }
  }

  connect(near) {
    const pair = { near, far: undefined };
    this.pairs.add(pair);
    near.on('error', () => {});
    near.on('close', () => {
      this.pairs.delete(pair);
      pair.far?.destroy();
    });
    if (this.isCut) {
      near.pause();
    } else {
      this.open(pair);
    }
  }

  open(pair) {
    if (pair.far !== undefined) {
      return;
    }
    const { near } = pair;
    const [host, port] = this.target.split(':');
    const far = net.connect(Number(port), host);
    pair.far = far;
    far.on('error', () => {});
    far.on('close', () => near.destroy());
    near.on('data', (chunk) => {
      const [, path] = /^(?:GET|POST) ([^? ]+)/.exec(chunk.toString('latin1', 0, 80)) ?? [];
      if (path !== undefined) {
        this.lastCallAt.set(path, performance.now());
      }
      far.write(chunk);
    });
    far.on('data', (chunk) => near.write(chunk));
  }
}
