import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createResponseStream} from '../src/response_stream.js';

function createTestStream() {
  const consumed: number[] = [];
  let isCancelled = false;
  const stream = createResponseStream({
    onConsumed: bytes => consumed.push(bytes),
    onCancel: () => (isCancelled = true),
  });
  return {stream, consumed, isCancelled: () => isCancelled};
}

describe('createResponseStream', () => {
  it('reports credit only for bytes that the reader has pulled', async () => {
    const {stream, consumed} = createTestStream();
    stream.push(Buffer.from('one'), 10);
    await new Promise(resolve => setImmediate(resolve));
    expect(consumed).toEqual([]);
    const reader = stream.body.getReader();
    const {value} = await reader.read();
    expect(Buffer.from(value!).toString()).toEqual('one');
    expect(consumed).toEqual([10]);
  });

  it('ends the body after the pushed bytes', async () => {
    const {stream} = createTestStream();
    stream.push(Buffer.from('a'), 1);
    stream.push(Buffer.from('b'), 1);
    stream.end();
    expect(await new Response(stream.body).text()).toEqual('ab');
  });

  it('delivers the pushed bytes before it aborts', async () => {
    const {stream} = createTestStream();
    stream.push(Buffer.from('error'), 1);
    stream.abort('cut');
    const reader = stream.body.getReader();
    const {value} = await reader.read();
    expect(Buffer.from(value!).toString()).toEqual('error');
    await expect(reader.read()).toBeRejectedWith('cut');
  });

  it('calls onCancel when the reader cancels before the end', async () => {
    const {stream, isCancelled} = createTestStream();
    await stream.body.cancel();
    expect(isCancelled()).toEqual(true);
  });
});
