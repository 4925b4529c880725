import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync, type WriteStream} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const BUNDLE = fileURLToPath(
  new URL('../../../target/sardinestile.mjs', import.meta.url),
);

/** Lets the time of day of a process be stepped by a signal. */
const CLOCK_STEPS = new URL('./clock_steps.mjs', import.meta.url).href;

/** Ports of every process; each has an address of its own. */
const CALLER_PORT = 18_740;
const READY_PORT = 18_749;
const PEER_PORT = 18_200;

/** Bounds of the soak's deployment, in the units of the settings. */
export const SOAK_BOUNDS = {
  grace_s: 8,
  revoke_ms: 5_000,
  config_apply_ms: 2_000,
  drain_ms: 2_000,
  lease_ms: 2_000,
  report_window_s: 3,
} as const;

/** Where a gateway process and its platform are. */
export interface GatewayProcessOptions {
  index: number;
  /** Third number of the process's address, so that soaks can run side by side. */
  network: number;
  directory: string;
  storePort: number;
  dutyPort: number;
  /** Variables beyond those of this process. */
  environment?: Readonly<Record<string, string>>;
}

/** A gateway as a process, which comes back when it ends. */
export interface GatewayProcess {
  readonly name: string;
  readonly address: string;
  readonly logPath: string;
  /** Id of the process that runs now. */
  readonly pid: number;
  /** Whether it was told to stop and has not started anew yet. */
  readonly isLeaving: boolean;
  signal(signal: NodeJS.Signals): void;
  /** Rewrites the settings file with an unknown field. */
  touchSettings(): void;
  /** Ends the process for good. */
  end(): Promise<void>;
}

/** Pause before a process that ended starts again, in milliseconds. */
const RESTART_PAUSE_MS = 200;

/** Starts a gateway process. */
export function startGatewayProcess(
  options: GatewayProcessOptions,
): GatewayProcess {
  const {index, directory, network} = options;
  const name = `front-${index}`;
  const host = `127.0.${network}.${index}`;
  const settingsPath = join(directory, `${name}.toml`);
  const logPath = join(directory, `${name}.log`);
  const log: WriteStream = createWriteStream(logPath, {flags: 'a'});
  let child: ChildProcess;
  let isEnding = false;
  let isLeaving = false;
  let edits = 0;

  const writeSettings = () =>
    writeFileSync(settingsPath, renderSettings(name, host, options, edits));
  const start = () => {
    isLeaving = false;
    child = spawn(
      process.execPath,
      ['--import', CLOCK_STEPS, BUNDLE, 'gateway'],
      {
        env: {
          ...process.env,
          ...options.environment,
          SARDINESTILE_CONFIG: settingsPath,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    child.stdout!.pipe(log, {end: false});
    child.stderr!.pipe(log, {end: false});
    child.once('exit', () => {
      if (!isEnding) setTimeout(start, RESTART_PAUSE_MS);
    });
  };
  writeSettings();
  start();
  return {
    name,
    address: `${host}:${CALLER_PORT}`,
    logPath,
    get pid() {
      return child.pid!;
    },
    get isLeaving() {
      return isLeaving;
    },
    signal(signal) {
      if (signal === 'SIGTERM') isLeaving = true;
      child.kill(signal);
    },
    touchSettings() {
      edits++;
      writeSettings();
    },
    async end() {
      isEnding = true;
      const exited = new Promise(resolve => child.once('exit', resolve));
      if (child.exitCode !== null || child.signalCode !== null) return;
      child.kill('SIGKILL');
      await exited;
      log.end();
    },
  };
}

function renderSettings(
  name: string,
  host: string,
  {storePort, dutyPort}: GatewayProcessOptions,
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
memory_mb = 200
max_fds = 1000
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
address = "127.0.0.1:${dutyPort}"
duties = ["usage_report"]
`;
}
