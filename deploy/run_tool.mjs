// Runs the tools of a build in an environment that does not depend on the caller's.
import {execFile} from 'node:child_process';
import {delimiter, dirname} from 'node:path';

const MAX_OUTPUT_BYTES = 16_777_216;

/** Variables that tools need to find their files, the registry and its certificates. */
const KEPT_VARIABLES =
  /^(path|home|user|logname|lang|ssl_cert_file|ssl_cert_dir|node_extra_ca_certs|(https?|all|no)_proxy)$/;

/** Settings of npm that say how the registry is reached and where the cache is. */
const KEPT_NPM_SETTINGS =
  /^npm_config_(registry|cache|userconfig|globalconfig|ca|cafile|cert|key|strict_ssl|proxy|http_proxy|https_proxy|noproxy|local_address|maxsockets|@.*|\/\/.*)$/;

/** An error of a tool, with what it wrote. */
export class ToolError extends Error {
  constructor(message, output) {
    super(message);
    this.output = output;
  }
}

/**
 * Runs a program without input and returns what it wrote to standard output. Throws a
 * ToolError if it cannot be started, fails or takes too long.
 */
export function runTool(file, args, {cwd, maxDurationMs, variables}) {
  return new Promise((resolve, reject) => {
    const child = execFile(
      file,
      args,
      {
        cwd,
        env: {...keepVariables(process.env), ...variables},
        killSignal: 'SIGKILL',
        maxBuffer: MAX_OUTPUT_BYTES,
        timeout: maxDurationMs,
      },
      (error, stdout, stderr) => {
        if (error === null) return resolve(stdout);
        const command = [file, args[0]].join(' ');
        reject(
          new ToolError(`${command}: ${describeEnd(error)}`, stdout + stderr),
        );
      },
    );
    child.stdin?.end();
  });
}

function describeEnd({code, killed, signal, message}) {
  if (killed) return 'took too long or wrote too much';
  if (signal) return `ended by ${signal}`;
  return typeof code === 'number' ? `exit code ${code}` : message;
}

function keepVariables(environment) {
  const kept = Object.entries(environment).filter(([name]) => {
    const normalized = name.toLowerCase();
    return (
      KEPT_VARIABLES.test(normalized) ||
      KEPT_NPM_SETTINGS.test(normalized.replaceAll('-', '_'))
    );
  });
  const nodeDirectory = dirname(process.execPath);
  const {PATH = ''} = environment;
  return {
    ...Object.fromEntries(kept),
    PATH: PATH === '' ? nodeDirectory : PATH + delimiter + nodeDirectory,
  };
}
