import type {GatewayProcess} from './gateway_process.js';
import {readResidentMemory} from './read_resident_memory.js';

/** Time between two readings of each process, in milliseconds. */
const READ_EVERY_MS = 20;

/** Ends processes whose resident memory is over a limit, as the hosting platform does. */
export interface MemoryWatch {
  /** One text for each process that was ended. */
  readonly failures: readonly string[];
  /** Largest resident memory of any process, in megabytes. */
  readonly peakMb: number;
  stop(): void;
}

/** Watches the current process of each gateway until it is stopped. */
export function watchMemory(
  gateways: readonly Pick<GatewayProcess, 'name' | 'pid' | 'signal'>[],
  limitMb: number,
): MemoryWatch {
  const failures: string[] = [];
  const endedPids = new Set<number>();
  let peakMb = 0;
  const check = (gateway: (typeof gateways)[number]) => {
    const {name, pid} = gateway;
    const memory = readResidentMemory(pid);
    if (!memory) return;
    peakMb = Math.max(peakMb, memory.peakMb);
    if (memory.peakMb <= limitMb || endedPids.has(pid)) return;
    endedPids.add(pid);
    failures.push(
      `${name} was ended with ${memory.peakMb.toFixed(1)} MB of ${limitMb} MB`,
    );
    gateway.signal('SIGKILL');
  };
  const timer = setInterval(() => gateways.forEach(check), READ_EVERY_MS);
  return {
    failures,
    get peakMb() {
      return peakMb;
    },
    stop: () => clearInterval(timer),
  };
}
