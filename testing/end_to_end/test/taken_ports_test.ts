import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {startProcess} from '../src/index.js';

const HOST = '127.0.0.1';

/** Time for which a port is taken, in milliseconds; longer than a process loads. */
const TAKEN_MS = 2_500;

/** An address where nothing listens. */
const ABSENT_URL = 'http://127.0.0.1:9';

const COMMANDS: Readonly<Record<string, (port: number) => string[]>> = {
  entry: port => [
    ...['entry', '--instance', 'e1', '--platform-url', ABSENT_URL],
    ...['--port', String(port)],
  ],
  agent: port => [
    ...['agent', '--instance', 'a1', '--service', 's'],
    ...['--upstream-kind', 'engine', '--upstream-url', ABSENT_URL],
    ...['--port', String(port)],
  ],
};

describe('a process whose port is taken when it starts', () => {
  for (const [command, createArgs] of Object.entries(COMMANDS)) {
    it(`waits for the port of an ${command}, also without its platform or upstream`, async () => {
      const holder = createServer().listen(0, HOST);
      await once(holder, 'listening');
      const {port} = holder.address() as AddressInfo;
      setTimeout(() => holder.close(), TAKEN_MS);
      const started = await startProcess([
        ...createArgs(port),
        ...['--availability-zone', 'z', '--admin-key', 'k'],
      ]);
      expect(started.address).toEqual(`${HOST}:${port}`);
      started.kill('SIGTERM');
      expect(await started.exited).toEqual(0);
    });
  }
});
