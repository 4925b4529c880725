import {after, before, describe, it} from 'node:test';
import {
  createKeyedHeaders,
  openKeptConnection,
  ROUTE_PATHS,
  type KeptConnection,
} from '@sardinestile/hosting_tests';
import {expect} from 'earl';
import {
  createSingleGateway,
  type SingleGateway,
} from '../src/single_gateway.js';

const CALLERS = 4;
const REQUESTS = 480;

/** Most bytes of a header with parts; all headers of a request may have 16 KB. */
const HEADER_BYTES = 14_500;

/** Returns a header of parts that no other request has, without tokens. */
function partsOf(request: number): string {
  let text = `${request}f0:0`;
  for (let i = 1; text.length < HEADER_BYTES; i++) text += `,${request}f${i}:0`;
  return text;
}

describe('callers that state prompt parts without tokens', () => {
  let single: SingleGateway;
  before(async () => {
    single = await createSingleGateway();
    for (const upstream of single.cluster.upstreams) {
      upstream.chooseBehaviour = () => ({kind: 'answer'});
    }
    single.start();
    await single.waitUntilReady();
  });
  after(async () => {
    await single.process.stop();
    await single.close();
  });

  it('do not fill the heap of a gateway', async () => {
    let sent = 0;
    let served = 0;
    const call = async (connection: KeptConnection) => {
      while (sent < REQUESTS && !connection.isClosed) {
        const request = sent++;
        const {status} = await connection.send({
          path: ROUTE_PATHS.idempotent,
          headers: {
            ...createKeyedHeaders(`r-${request}`),
            'Prompt-Prefix': partsOf(request),
            'Token-Counts': '100,10',
          },
        });
        if (status === 200) served++;
      }
      connection.close();
    };
    await Promise.all(
      Array.from({length: CALLERS}, () =>
        call(openKeptConnection(single.process.address)),
      ),
    );
    expect(single.process.unexpectedExits).toEqual([]);
    expect(served).toEqual(REQUESTS);
  });
});
