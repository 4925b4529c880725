import {spawn, type ChildProcess} from 'node:child_process';
import {
  createWriteStream,
  readFileSync,
  writeFileSync,
  type WriteStream,
} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Arguments with which the hosting platform starts a gateway. */
const GATEWAY_ARGUMENTS = readGatewayArguments();

/** Module preloaded into each process, so that a signal can step its wall clock. */
const CLOCK_STEPS_MODULE = new URL('./clock_steps.mjs', import.meta.url).href;

/** Module preloaded into each process, so that a signal can throw an error in it. */
const THROW_MODULE = new URL('./throw_on_signal.mjs', import.meta.url).href;

/** Signal that throws an exception in a timer of the process. */
export const THROW_SIGNAL = 'SIGWINCH';

/** Time for which Node.js itself may start; a signal ends the process meanwhile. */
const RUNTIME_START_MS = 1_000;

/** Ports of every process; the processes differ by IP address. */
const CALLER_PORT = 18_740;
const READY_PORT = 18_749;
const PEER_PORT = 18_200;
const METRICS_PORT = PEER_PORT + 1;

/** Values of the settings section `bounds` that checks depend on. */
export const SOAK_BOUNDS = {
  grace_s: 8,
  revoke_ms: 5_000,
  config_apply_ms: 2_000,
  drain_ms: 2_000,
  lease_ms: 2_000,
  report_window_s: 3,
} as const;

/** What a process may use at most. */
export interface ProcessLimits {
  memoryMb: number;
  descriptors: number;
}

const USUAL_LIMITS: ProcessLimits = {
  memoryMb: 200,
  descriptors: 1_000,
};

/** Options for startGatewayProcess. */
export interface GatewayProcessOptions {
  /** Number of the gateway; last octet of its IP address. */
  index: number;
  /** Third octet of the IP address; differs between soaks that run side by side. */
  network: number;
  /** Directory for the settings file and the log. */
  directory: string;
  storePort: number;
  dutyInterfacePort: number;
  limits?: ProcessLimits;
  /** URLs of modules that are loaded before the gateway. */
  preload?: readonly string[];
  /** Environment variables added to those of this process. */
  environment?: Readonly<Record<string, string>>;
}

/** How a process ended: by itself, or by a signal that it did not handle. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** A gateway process that is restarted when it exits. */
export interface GatewayProcess {
  readonly name: string;
  readonly address: string;
  readonly readinessAddress: string;
  /** Address for other gateways, by TCP and UDP. */
  readonly peerAddress: string;
  readonly metricsAddress: string;
  readonly logPath: string;
  /** Id of the current process. */
  readonly pid: number;
  /** Whether it was made to stop and has not been restarted yet. */
  readonly isStopping: boolean;
  /** How each process before the current one ended. */
  readonly exits: readonly ProcessExit[];
  /** The exits that nothing asked for, one text each. */
  readonly unexpectedExits: readonly string[];
  signal(signal: NodeJS.Signals): void;
  /** Calls back once, when the process has been started again. */
  onNextStart(callback: () => void): void;
  /** Rewrites the settings file with a new value of a field that the gateway does not know. */
  rewriteSettings(): void;
  /** Rewrites the settings file with another port of the store. */
  moveStore(port: number): void;
  /** Kills the process without a restart. */
  stop(): Promise<void>;
}

/** Delay before a process that exited is restarted, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** Writes the settings file and starts a gateway process. */
export function startGatewayProcess(
  options: GatewayProcessOptions,
): GatewayProcess {
  const {index, directory, network, preload = []} = options;
  const name = `front-${index}`;
  const host = `127.0.${network}.${index}`;
  const settingsPath = join(directory, `${name}.toml`);
  const logPath = join(directory, `${name}.log`);
  const log: WriteStream = createWriteStream(logPath, {flags: 'a'});
  let child: ChildProcess;
  let isEnding = false;
  let isStopping = false;
  let hasThrown = false;
  let startedAtMs = 0;
  let frozenAtMs: number | undefined;
  let edits = 0;
  let {storePort} = options;
  let restartTimer: NodeJS.Timeout | undefined;
  const trackFreeze = (signal: NodeJS.Signals) => {
    if (signal === 'SIGSTOP') frozenAtMs ??= performance.now();
    if (signal !== 'SIGCONT' || frozenAtMs === undefined) return;
    // A process that was frozen while Node.js started has started that much later.
    startedAtMs += performance.now() - frozenAtMs;
    frozenAtMs = undefined;
  };
  const exits: ProcessExit[] = [];
  const unexpectedExits: string[] = [];
  let sentSignals = new Set<NodeJS.Signals>();
  let startCallbacks: Array<() => void> = [];

  const writeSettings = () =>
    writeFileSync(
      settingsPath,
      renderSettings(name, host, {...options, storePort}, edits),
    );
  const start = () => {
    isStopping = false;
    hasThrown = false;
    startedAtMs = performance.now();
    frozenAtMs = undefined;
    const sent = (sentSignals = new Set());
    child = spawn(
      process.execPath,
      [
        `--import=${CLOCK_STEPS_MODULE}`,
        `--import=${THROW_MODULE}`,
        ...preload.map(url => `--import=${url}`),
        ...GATEWAY_ARGUMENTS,
      ],
      {
        cwd: ROOT,
        env: {
          ...process.env,
          ...options.environment,
          SARDINESTILE_CONFIG: settingsPath,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    let hasRun = false;
    child.stdout!.once('data', () => (hasRun = true));
    child.stdout!.pipe(log, {end: false});
    child.stderr!.pipe(log, {end: false});
    child.once('exit', (code, signal) => {
      exits.push({code, signal});
      const uptimeMs = performance.now() - startedAtMs;
      const isExpected =
        (code === 0 && sent.has('SIGTERM')) ||
        (code === 1 && hasThrown) ||
        (signal !== null &&
          sent.has(signal) &&
          (signal === 'SIGKILL' || (!hasRun && uptimeMs < RUNTIME_START_MS)));
      if (!isExpected && !isEnding) {
        unexpectedExits.push(
          `${name} ended by itself after ${Math.round(uptimeMs)} ms: ${signal ?? code}`,
        );
      }
      if (!isEnding) restartTimer = setTimeout(start, RESTART_DELAY_MS);
    });
    const callbacks = startCallbacks;
    startCallbacks = [];
    callbacks.forEach(callback => callback());
  };
  writeSettings();
  start();
  return {
    name,
    address: `${host}:${CALLER_PORT}`,
    readinessAddress: `${host}:${READY_PORT}`,
    peerAddress: `${host}:${PEER_PORT}`,
    metricsAddress: `${host}:${METRICS_PORT}`,
    logPath,
    get pid() {
      return child.pid!;
    },
    get isStopping() {
      return isStopping;
    },
    exits,
    unexpectedExits,
    signal(signal) {
      sentSignals.add(signal);
      trackFreeze(signal);
      if (signal === THROW_SIGNAL) hasThrown = true;
      if (signal === 'SIGTERM' || signal === THROW_SIGNAL) isStopping = true;
      child.kill(signal);
    },
    onNextStart: callback => void startCallbacks.push(callback),
    rewriteSettings() {
      edits++;
      writeSettings();
    },
    moveStore(port) {
      storePort = port;
      writeSettings();
    },
    async stop() {
      isEnding = true;
      clearTimeout(restartTimer);
      const exited = new Promise(resolve => child.once('exit', resolve));
      if (child.exitCode !== null || child.signalCode !== null) return;
      child.kill('SIGKILL');
      await exited;
      log.end();
    },
  };
}

function readGatewayArguments(): string[] {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const {roles} = parse(text) as {roles: {gateway: {run: string}}};
  return roles.gateway.run.split(' ').slice(1);
}

function renderSettings(
  name: string,
  host: string,
  {storePort, dutyInterfacePort, limits = USUAL_LIMITS}: GatewayProcessOptions,
  edits: number,
): string {
  const bounds = Object.entries(SOAK_BOUNDS).map(([k, v]) => `${k} = ${v}`);
  return `
node_name = "${name}"
machine_class = "front"
ip = "${host}"
zone = "a"
region = "r"
port_range = [${PEER_PORT}, ${PEER_PORT + 9}]
heartbeat_ms = 1200
edits = ${edits}
[listen]
front = "${host}:${CALLER_PORT}"
ready = "${host}:${READY_PORT}"
[limits]
memory_mb = ${limits.memoryMb}
max_fds = ${limits.descriptors}
[bounds]
${bounds.join('\n')}
reuse_after_s = 2
contact_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 50
usage_late_s = 10
[platform]
address = "127.0.0.1:${storePort}"
writes_per_s = 400
reads_per_s = 2000
row_bytes = 65536
[cloud_api]
address = "127.0.0.1:${dutyInterfacePort}"
duties = ["usage_report"]
`;
}
