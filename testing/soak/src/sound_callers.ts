import {
  createKeyedHeaders,
  openKeptConnection,
  ROUTE_PATHS,
  type KeptConnection,
} from '@sardinestile/hosting_tests';

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [429, 503];

/** Pause after a refusal, and between two requests, in milliseconds. */
const PAUSE_MS = 20;

/** What callers that do nothing wrong got. */
export interface SoundCallers {
  readonly served: number;
  /** A line for each request that was neither served nor refused as not run. */
  readonly failures: readonly string[];
  /** Resolves when the open requests have ended. */
  stop(): Promise<void>;
}

/** Starts callers of each address that send one request after the other, on kept connections. */
export function startSoundCallers(
  addresses: readonly string[],
  callersPerAddress: number,
): SoundCallers {
  const failures: string[] = [];
  let served = 0;
  let isStopped = false;
  const paths = [ROUTE_PATHS.idempotent, ROUTE_PATHS.once, ROUTE_PATHS.stream];

  const call = async (address: string, caller: number) => {
    let connection: KeptConnection | undefined;
    for (let i = 0; !isStopped; i++) {
      if (!connection || connection.isClosed) {
        connection = openKeptConnection(address);
      }
      const path = paths[i % paths.length];
      const requestId = `sound-${address}-${caller}-${i}`;
      const {status, isComplete, headers} = await connection.send({
        path,
        headers: createKeyedHeaders(requestId),
        body: path === ROUTE_PATHS.stream ? undefined : 'sound',
      });
      const isRefused =
        NOT_RUN_STATUSES.includes(status) &&
        headers['retry-after'] !== undefined;
      if (status === 200 && isComplete) served++;
      else if (!isRefused) failures.push(`${requestId} ${path}: ${status}`);
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
    connection?.close();
  };
  const callers = addresses.flatMap(address =>
    Array.from({length: callersPerAddress}, (_, i) => call(address, i)),
  );
  return {
    get served() {
      return served;
    },
    failures,
    async stop() {
      isStopped = true;
      await Promise.all(callers);
    },
  };
}
