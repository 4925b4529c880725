import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const MAIN_PATH = fileURLToPath(
  new URL('../../../cli/sardinestile/lib/main.js', import.meta.url),
);

/** A sardinestile process under test. */
export interface TestProcess {
  /** Addresses from the process_started log line; empty if not logged. */
  address: string;
  opsAddress: string;
  peerAddress: string;
  pid: number;
  /** Log lines received so far. */
  lines: string[];
  kill(signal: NodeJS.Signals): void;
  /** Closes the reading end of the standard output. */
  closeOutput(): void;
  /** Resolves with the exit code; null if a signal ended the process. */
  exited: Promise<number | null>;
}

/**
 * Starts `sardinestile` with additional environment variables; resolves when it logs that
 * it has started, rejects if it exits before.
 */
export async function startProcess(
  args: readonly string[],
  environment: NodeJS.ProcessEnv = {},
): Promise<TestProcess> {
  const child = spawn(process.execPath, [MAIN_PATH, ...args], {
    env: {...process.env, ...environment},
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines: string[] = [];
  const exited = new Promise<number | null>(resolve =>
    child.once('exit', (code, signal) => {
      // Printed beside the failures of tests, as a process may end without a line.
      if (code !== 0) console.error(`${args[0]} ended: ${signal ?? code}`);
      resolve(code);
    }),
  );
  const startLine = await waitForStart(child, lines);
  return {
    address: parseField(startLine, 'address'),
    opsAddress: parseField(startLine, 'opsAddress'),
    peerAddress: parseField(startLine, 'peerAddress'),
    pid: child.pid!,
    lines,
    kill: signal => child.kill(signal),
    closeOutput: () => child.stdout!.destroy(),
    exited,
  };
}

function waitForStart(child: ChildProcess, lines: string[]): Promise<string> {
  return new Promise((resolve, reject) => {
    createInterface({input: child.stdout!}).on('line', line => {
      lines.push(line);
      if (line.includes('event=process_started')) resolve(line);
    });
    child.once('exit', code => reject(new Error(`exited with ${code}`)));
  });
}

function parseField(line: string, name: string): string {
  return new RegExp(` ${name}=(\\S+)`).exec(line)?.[1] ?? '';
}
