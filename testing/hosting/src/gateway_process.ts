import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const MAIN_PATH = fileURLToPath(
  new URL('../../../cli/sardinestile/lib/platform_main.js', import.meta.url),
);

/** Ports of a gateway process; all are outside of the range for outgoing connections. */
export const PROCESS_PORTS = {
  callers: 18_740,
  readiness: 18_749,
  peers: 18_200,
  metrics: 18_201,
} as const;

/** Lines of the settings section `bounds` that a deployment with all parts has. */
const BOUNDS = `
grace_s = 8
revoke_ms = 5000
config_apply_ms = 2000
drain_ms = 2000
lease_ms = 2000
report_window_s = 3
reuse_after_s = 2
contact_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 50
usage_late_s = 10
`;

/** Options for `prepareGatewayProcess`. */
export interface GatewayProcessOptions {
  /** IP address that no other process uses. */
  host: string;
  /** Address of the store, as host:port. */
  storeAddress: string;
  /** Port for callers; that of `PROCESS_PORTS` if absent. */
  callerPort?: number;
  /** Lines of the settings section `bounds`; those of all parts if absent. */
  bounds?: string;
}

/** A gateway process under test. */
export interface GatewayProcess {
  /** Settings file of a usable gateway. */
  readonly settings: string;
  readonly lines: readonly string[];
  /** Exit code, `null` after a signal, `undefined` while the process runs. */
  readonly exitCode: number | null | undefined;
  /** Replaces the settings file. */
  writeSettings(text: string): void;
  start(): void;
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code. */
  readonly exited: Promise<number | null>;
  /** Whether the gateway says at its readiness address that it is ready. */
  isReady(): Promise<boolean>;
  /** Kills the process and removes its files. */
  end(): Promise<void>;
}

/** Writes the settings of a gateway process without starting it. */
export function prepareGatewayProcess(
  options: GatewayProcessOptions,
): GatewayProcess {
  const directory = mkdtempSync(join(tmpdir(), 'gateway-'));
  const path = join(directory, 'local.toml');
  const settings = renderSettings(options);
  writeFileSync(path, settings);
  const lines: string[] = [];
  let exitCode: number | null | undefined;
  let child: ReturnType<typeof spawnGateway> | undefined;
  let resolveExit: (code: number | null) => void;
  const exited = new Promise<number | null>(resolve => (resolveExit = resolve));
  return {
    settings,
    lines,
    exited,
    get exitCode() {
      return exitCode;
    },
    writeSettings: text => writeFileSync(path, text),
    start() {
      child = spawnGateway(path);
      createInterface({input: child.stdout}).on('line', line =>
        lines.push(line),
      );
      child.once('exit', code => {
        exitCode = code;
        resolveExit(code);
      });
    },
    signal: signal => void child?.kill(signal),
    async isReady() {
      const url = `http://${options.host}:${PROCESS_PORTS.readiness}/api/ready`;
      try {
        const signal = AbortSignal.timeout(500);
        return (await fetch(url, {signal})).status === 200;
      } catch {
        return false;
      }
    },
    async end() {
      if (child && exitCode === undefined) {
        child.kill('SIGKILL');
        await exited;
      }
      rmSync(directory, {recursive: true});
    },
  };
}

function spawnGateway(settingsPath: string) {
  return spawn(process.execPath, [MAIN_PATH, 'gateway'], {
    env: {...process.env, SARDINESTILE_CONFIG: settingsPath},
    stdio: ['ignore', 'pipe', 'inherit'],
  });
}

function renderSettings({
  host,
  storeAddress,
  callerPort = PROCESS_PORTS.callers,
  bounds = BOUNDS,
}: GatewayProcessOptions): string {
  const {readiness, peers} = PROCESS_PORTS;
  return `
node_name = "front-1"
machine_class = "front"
ip = "${host}"
zone = "a"
region = "r"
port_range = [${peers}, ${peers + 9}]
heartbeat_ms = 1200
[listen]
front = "${host}:${callerPort}"
ready = "${host}:${readiness}"
[limits]
memory_mb = 200
max_fds = 1000
[bounds]
${bounds}
[platform]
address = "${storeAddress}"
writes_per_s = 400
reads_per_s = 2000
row_bytes = 65536
`;
}
