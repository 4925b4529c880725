// Stand-ins and helpers for the scripts of cases 6 to 10. They start gateways with the command
// of the deploy file and play the platform, the engines and the clients as the users' pages
// describe them, on loopback addresses and the real clock.
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Polls a condition; throws after the limit. */
export async function waitUntil(what, condition, limitMs = 20_000) {
  const endMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > endMs)
      throw new Error(`no ${what} in ${limitMs} ms`);
    await sleep(10);
  }
}

/** Lines of the record, with seconds since the start of the script. */
export function createRecord() {
  const lines = [];
  return {
    add: (what, fields = {}) =>
      lines.push(
        `${(performance.now() / 1_000).toFixed(3)} ${what} ${JSON.stringify(fields)}`,
      ),
    write: folder =>
      writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}

/** Returns a /24 network of loopback addresses on which the ports of a gateway are free. */
async function chooseNetwork() {
  for (;;) {
    const network = `127.${randomInt(16, 250)}.${randomInt(1, 250)}`;
    const server = createServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(18_740, `${network}.1`, () => resolve(true));
    });
    await new Promise(resolve => server.close(resolve));
    if (isFree) return network;
  }
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function sendJson(response, status, body, headers = {}) {
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(JSON.stringify(body));
}

/** Starts the platform's store in its table form. */
async function startStore(host) {
  let rows = new Map();
  let history = [];
  let version = 0;
  let era = 1;
  let waiting = new Set();
  const rowKey = ({table, part = '', key}) =>
    JSON.stringify([table, part, key]);
  const wake = () => {
    const woken = waiting;
    waiting = new Set();
    for (const notify of woken) notify();
  };
  const transact = ({
    expected_rev: conditions = [],
    puts = [],
    remove = [],
  }) => {
    if (conditions.some(c => (rows.get(rowKey(c))?.ver ?? 0) !== c.ver))
      return undefined;
    version++;
    for (const {table, part = '', key, value} of puts) {
      const row = {table, part, key, value, ver: version};
      rows.set(rowKey(row), row);
      history.push(row);
    }
    for (const {table, part = '', key} of remove) {
      rows.delete(rowKey({table, part, key}));
      history.push({
        table,
        part,
        key,
        value: '',
        ver: version,
        tombstone: true,
      });
    }
    wake();
    return version;
  };
  const changes = (table, after) => {
    const newest = new Map();
    for (const row of history) {
      if (row.table === table && row.ver > after) newest.set(rowKey(row), row);
    }
    return [...newest.values()].sort((a, b) => a.ver - b.ver);
  };
  const store = {
    /** While it is down, calls get 503 and nothing is done. */
    isDown: false,
    put(table, key, value) {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      return transact({puts: [{table, key, value: text}]});
    },
    remove: (table, key) => transact({remove: [{table, key}]}),
    copy: () => ({rows: new Map(rows), history: [...history], version}),
    /** Comes back from a copy: later writes are gone, versions are given out again. */
    restore(copy) {
      rows = new Map(copy.rows);
      history = [...copy.history];
      ({version} = copy);
      era++;
      wake();
    },
  };
  const handlers = {
    'GET /api/rows-get'(query, _body, answer) {
      const [table, part] = [query.get('table'), query.get('part') ?? ''];
      const [from, to] = [query.get('from') ?? '', query.get('to')];
      const limit = Math.min(500, Number(query.get('limit') ?? 500));
      const found = [...rows.values()]
        .filter(row => row.table === table && row.part === part)
        .filter(({key}) => key >= from && (to === null || key < to))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      answer(200, {
        rows: found.slice(0, limit),
        truncated: found.length > limit,
      });
    },
    'POST /api/rows-tx'(_query, body, answer) {
      answer(transact(JSON.parse(body)) === undefined ? 412 : 200, {rows: []});
    },
    'GET /api/rows-feed'(query, _body, answer) {
      const [table, after] = [query.get('table'), Number(query.get('after'))];
      if (after > version) return answer(410, {});
      const respond = () => {
        clearTimeout(timer);
        waiting.delete(check);
        answer(200, {rows: changes(table, after)});
      };
      const check = () => {
        if (changes(table, after).length > 0) respond();
        else waiting.add(check);
      };
      const timer = setTimeout(respond, Number(query.get('wait_ms')));
      check();
    },
  };
  const server = http.createServer(async (request, response) => {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    const handle = handlers[`${request.method} ${url.pathname}`];
    const answer = (status, fields) =>
      sendJson(
        response,
        status,
        {...fields, ver: version, now_ms: Math.round(performance.now())},
        {'store-era': String(era)},
      );
    // The answer of the store takes 4 ms.
    setTimeout(() => {
      if (store.isDown) sendJson(response, 503, {}, {'store-era': String(era)});
      else if (handle) handle(url.searchParams, body.toString(), answer);
      else sendJson(response, 404, {});
    }, 4);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise(resolve => server.listen(0, host, resolve));
  return Object.assign(store, {
    address: `${host}:${server.address().port}`,
    close: () => server.close() && server.closeAllConnections(),
  });
}

/** Starts the platform's API for singleton duties; it refuses lower fencing tokens. */
async function startDutyApi(host, record) {
  const highest = new Map();
  const server = http.createServer(async (request, response) => {
    const body = JSON.parse((await readBody(request)).toString());
    const fence = Number(request.headers['fence-token']);
    const subject = `${request.url} ${body.service ?? ''} ${body.zone ?? ''}`;
    const isRefused = fence < (highest.get(subject) ?? 0);
    if (!isRefused) highest.set(subject, fence);
    const holder = request.headers['duty-holder'];
    record.add('duty call', {
      path: request.url,
      holder,
      fence,
      body,
      isRefused,
    });
    sendJson(response, isRefused ? 409 : 200, {});
  });
  await new Promise(resolve => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    close: () => server.close() && server.closeAllConnections(),
  };
}

/** Creates a system without processes; `config` is what the operator wrote last. */
export async function createSystem(record) {
  const network = await chooseNetwork();
  const folder = mkdtempSync(join(tmpdir(), 'case-'));
  const store = await startStore(`${network}.250`);
  const duties = await startDutyApi(`${network}.251`, record);
  const gateways = [];
  const engines = [];
  const system = {
    network,
    store,
    gateways,
    engines,
    /** Writes a configuration; the answer of the store is the acknowledgement. */
    configure(config) {
      store.put('op', 'config', config);
      record.add('configuration acknowledged', {version: config.version});
    },
    async addGateway(options) {
      const gateway = createGateway(
        system,
        folder,
        gateways.length + 1,
        duties,
        record,
        options,
      );
      gateways.push(gateway);
      gateway.start();
      return gateway;
    },
    async addEngine(options) {
      const engine = createEngine(system, engines.length + 1, record, options);
      engines.push(engine);
      await engine.start(options);
      return engine;
    },
    async close() {
      await Promise.all(gateways.map(gateway => gateway.end()));
      for (const engine of engines) engine.crash();
      store.close();
      duties.close();
      rmSync(folder, {recursive: true});
    },
  };
  return system;
}

/** Bounds of the small deployments, as their settings state them. */
const BOUNDS = `
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
revoke_ms = 5000
strict_revoke = true
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 52
require_fence = true
lease_ms = 3000
report_window_s = 5
usage_late_s = 10
contact_ms = 3000
reuse_after_s = 2
recovery_s = 12
`;

/** A gateway process that is started with the command of the deploy file. */
function createGateway(
  {network, store},
  folder,
  index,
  duties,
  record,
  {bootstrap = true, memoryMb = 350} = {},
) {
  const name = `front-${index}`;
  const host = `${network}.${index}`;
  const settingsPath = join(folder, `${name}.toml`);
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  const writeSettings = isFirst =>
    writeFileSync(
      settingsPath,
      `node_name = "${name}"
machine_class = "front"
serves = ["front"]
ip = "${host}"
zone = "a"
region = "r"
port_range = [18200,18215]
bootstrap = ${isFirst}
heartbeat_ms = 1200
[listen]
front = "${host}:18740"
ready = "${host}:18749"
[limits]
memory_mb = ${memoryMb}
max_fds = 4100
[bounds]${BOUNDS}
[platform]
address = "${store.address}"
writes_per_s = 400
reads_per_s = 2000
row_bytes = 65536
[cloud_api]
address = "${duties.address}"
duties = ["usage_report"]
`,
    );
  let child;
  let isSignalled = false;
  let restartTimer;
  // Also after an error of the script itself.
  process.once('exit', () => child?.kill('SIGKILL'));
  const gateway = {
    name,
    host,
    log: '',
    /** Times that a process ended though no signal was sent to it. */
    ends: 0,
    start(isFirst = bootstrap) {
      writeSettings(isFirst);
      const {PATH, HOME, LANG} = process.env;
      const env = {PATH, HOME, LANG, SARDINESTILE_CONFIG: settingsPath};
      child = spawn(program, args, {
        cwd: ROOT,
        env,
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child.stdout.on('data', data => (gateway.log += data));
      child.stderr.on('data', data => (gateway.log += data));
      isSignalled = false;
      child.once('exit', (code, signal) => {
        record.add('gateway ended', {name, code, signal, isSignalled});
        if (isSignalled) return;
        gateway.ends++;
        // The platform starts a process that ended by itself again.
        restartTimer = setTimeout(() => gateway.start(false), 500);
      });
      record.add('gateway started', {name});
    },
    get pid() {
      return child.pid;
    },
    signal(signal) {
      record.add('signal', {name, signal});
      isSignalled = true;
      child.kill(signal);
    },
    /** Whether the platform would keep it in rotation. */
    async isReady() {
      const {status} = await send({host, port: 18_749, path: '/api/ready'});
      return status === 200;
    },
    async end() {
      clearTimeout(restartTimer);
      isSignalled = true;
      if (!child || child.exitCode !== null || child.signalCode !== null)
        return;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
    },
  };
  return gateway;
}

/**
 * An engine. `respond` gets each request that it takes; an engine takes only requests that
 * expect it. It registers when it starts and writes its entry every 1,200 ms.
 */
function createEngine(
  {network, store},
  index,
  record,
  {id = `engine-${index}`, service, respond},
) {
  const host = `${network}.${100 + index}`;
  let server;
  let port = 0;
  let timer;
  let seq = 0;
  const engine = {
    id,
    version: undefined,
    born: undefined,
    isUp: false,
    state: 'ready',
    /** Requests that it ran: id, headers and time. */
    runs: [],
    register() {
      store.put('servers', id, {
        service,
        address: `${host}:${port}`,
        zone: 'a',
        version: engine.version,
        slots: 64,
        state: engine.state,
        cold_left_ms: 0,
        born: engine.born,
        seq: seq++,
      });
    },
    /** Starts, or starts again under its id and at its address. */
    async start({version = 'v1'} = {}) {
      engine.version = version;
      engine.born = Date.now();
      server = http.createServer(async (request, response) => {
        const requestId = request.headers['request-id'] ?? '';
        const base = {'request-id': requestId};
        if (request.url === '/api/kv-list') {
          sendJson(response, 200, {epoch: 1, next: 1, held: []});
          return;
        }
        let body;
        try {
          body = await readBody(request);
        } catch {
          return;
        }
        const expected = request.headers['expect-instance'];
        if (expected !== undefined && expected !== id) {
          response
            .writeHead(421, {...base, 'not-run': '1', 'instance-id': id})
            .end();
          return;
        }
        const stamp = `${id}.${engine.born}.${requestId}`;
        const run = {
          requestId,
          headers: request.headers,
          atMs: performance.now(),
          body,
        };
        engine.runs.push(run);
        record.add('run', {
          engine: id,
          version,
          requestId,
          lastEventId: request.headers['last-event-id'],
          tenant: request.headers.tenant,
        });
        const headers = {...base, 'response-stamp': stamp};
        respond({engine, run, request, response, headers, version});
      });
      server.keepAliveTimeout = 30_000;
      await new Promise(resolve => server.listen(port, host, resolve));
      ({port} = server.address());
      engine.isUp = true;
      engine.register();
      timer = setInterval(() => engine.register(), 1_200);
      record.add('engine started', {id, version, born: engine.born});
    },
    /** Ends at once with all its connections and says nothing. */
    crash() {
      if (!engine.isUp) return;
      engine.isUp = false;
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
      record.add('engine crashed', {id});
    },
  };
  return engine;
}

/** Answers with events of `gapMs` each, from the one after `Last-Event-Id`; each names the version. */
export function streamEvents(
  {request, response, headers, version},
  {events, gapMs},
) {
  response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
  let id = Number(request.headers['last-event-id'] ?? -1) + 1;
  const next = () => {
    if (response.destroyed) return;
    if (id >= events) {
      response.end();
      return;
    }
    response.write(`id: ${id}\ndata: ${version} piece ${id}\n\n`);
    id++;
    setTimeout(next, gapMs);
  };
  next();
}

/** Sends a request on a new connection, or that of an agent; never rejects. */
export function send({
  host,
  port = 18_740,
  method = 'GET',
  path,
  headers = {},
  body,
  agent,
  limitMs = 20_000,
}) {
  return new Promise(resolve => {
    const chunks = [];
    let status;
    let answerHeaders = {};
    let hasTimedOut = false;
    const finish = isComplete => {
      clearTimeout(timer);
      const text = Buffer.concat(chunks).toString();
      const isReused = request.reusedSocket;
      resolve({
        status,
        headers: answerHeaders,
        text,
        isComplete,
        isReused,
        hasTimedOut,
      });
    };
    const request = http.request(
      {host, port, method, path, headers, agent: agent ?? false},
      response => {
        ({statusCode: status, headers: answerHeaders} = response);
        response.on('data', chunk => chunks.push(chunk));
        response.on('end', () => finish(response.complete));
        response.on('error', () => finish(false));
      },
    );
    const timer = setTimeout(() => {
      hasTimedOut = true;
      request.destroy();
    }, limitMs);
    request.on('error', () => finish(false));
    request.end(body);
  });
}

/** Ids and texts of the events of a response, in order. */
export function readEvents(text) {
  return [...text.matchAll(/id: (\d+)\ndata: (\S+) piece \d+\n\n/g)].map(
    ([, id, version]) => ({
      id: Number(id),
      version,
    }),
  );
}

/** Runs a case, writes its record and exits with its result. */
export async function runCase(folderUrl, play) {
  const folder = fileURLToPath(new URL('.', folderUrl));
  const record = createRecord();
  let system;
  let result = 2;
  try {
    system = await createSystem(record);
    result = await play(system, record);
  } catch (error) {
    record.add('the case could not run', {reason: String(error.stack)});
    console.error(error);
  }
  try {
    for (const {name, log} of system?.gateways ?? []) {
      if (process.env.LOGS)
        writeFileSync(join(process.env.LOGS, `${name}.log`), log);
    }
    await system?.close();
  } finally {
    record.add('result', {exitCode: result});
    record.write(folder);
    process.exit(result);
  }
}
