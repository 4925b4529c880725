import {spawn, spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {parse} from 'smol-toml';

const MAX_BUILD_MS = 120_000;
const MAX_START_MS = 10_000;

/** Exit code of a gateway that finds no valid settings. */
export const INVALID_SETTINGS_EXIT_CODE = 2;

/** How a build is run; variables that are undefined are removed from the environment. */
export interface BuildOptions {
  readonly variables?: Readonly<Record<string, string | undefined>>;
  /** Shell code around the build, which is `$BUILD`. */
  readonly shell?: string;
  /** Time after which the build and all of its processes are killed, in milliseconds. */
  readonly killAfterMs?: number;
}

/** How a build ended. */
export interface BuildResult {
  readonly exitCode: number | null;
  readonly output: string;
  readonly durationMs: number;
}

/** Runs the build of the deploy file in a process group of its own. */
export function runBuild(
  directory: string,
  {
    variables = {},
    shell = 'eval "$BUILD"',
    killAfterMs = MAX_BUILD_MS,
  }: BuildOptions = {},
): Promise<BuildResult> {
  const startedAtMs = performance.now();
  const child = spawn('sh', ['-c', shell], {
    cwd: directory,
    detached: true,
    env: {
      ...process.env,
      NODE_TEST_CONTEXT: undefined,
      BUILD: readBuildLine(directory),
      ...variables,
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.setEncoding('utf8').on('data', (text: string) => (output += text));
  }
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      if (child.pid !== undefined) process.kill(-child.pid, 'SIGKILL');
    }, killAfterMs);
    child.once('error', reject);
    child.once('close', exitCode => {
      clearTimeout(timer);
      const durationMs = performance.now() - startedAtMs;
      resolve({exitCode, output, durationMs});
    });
  });
}

/** Starts the program that was built, without settings, and returns its exit code and output. */
export function startProgram(directory: string): {
  exitCode: number | null;
  output: string;
} {
  const {status, stdout, stderr} = spawnSync(
    process.execPath,
    ['target/sardinestile.cjs', 'gateway'],
    {
      cwd: directory,
      encoding: 'utf8',
      env: {PATH: process.env.PATH},
      timeout: MAX_START_MS,
    },
  );
  return {exitCode: status, output: stdout + stderr};
}

function readBuildLine(directory: string): string {
  const text = readFileSync(join(directory, 'deploy/system.toml'), 'utf8');
  return (parse(text) as {build: string}).build;
}
