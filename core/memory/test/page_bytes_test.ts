import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createPageBytes, readResidentBytes} from '../src/index.js';

const MB = 1_048_576;

describe('bytes in pages of their own', () => {
  it('keep what was appended, in order', () => {
    const bytes = createPageBytes(200_000);
    const parts = [Buffer.alloc(70_000, 'a'), Buffer.alloc(130_000, 'b')];
    parts.forEach(part => bytes.append(part));
    expect(bytes.length).toEqual(200_000);
    expect(bytes.view().equals(Buffer.concat(parts))).toEqual(true);
  });

  it('take no more than their size', () => {
    const bytes = createPageBytes(10);
    expect(() => bytes.append(Buffer.alloc(11))).toThrow();
  });

  it('take memory only for what was appended', () => {
    const beforeBytes = readResidentBytes()!;
    const held = Array.from({length: 64}, () => createPageBytes(4 * MB));
    held.forEach(bytes => bytes.append(Buffer.from('a')));
    expect(readResidentBytes()! - beforeBytes).toBeLessThan(16 * MB);
    held.forEach(bytes => bytes.release());
  });

  it('return to the operating system when they are released', () => {
    const held = Array.from({length: 64}, () => createPageBytes(MB));
    const part = Buffer.alloc(MB, 'a');
    held.forEach(bytes => bytes.append(part));
    const heldBytes = readResidentBytes()!;
    held.forEach(bytes => bytes.release());
    expect(heldBytes - readResidentBytes()!).toBeGreaterThan(60 * MB);
    expect(held[0].view().length).toEqual(0);
  });

  it('fail a write that is pending at their release, and nothing else', async () => {
    const peers: Socket[] = [];
    const server = createServer({pauseOnConnect: true}, peer => {
      peers.push(peer);
    }).listen(0);
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port);
    await Promise.all([once(socket, 'connect'), once(server, 'connection')]);
    const bytes = createPageBytes(64 * MB);
    bytes.append(Buffer.alloc(64 * MB, 'a'));
    const failed = once(socket, 'error');
    socket.write(bytes.view());
    bytes.release();
    peers[0].resume();
    const [error] = (await failed) as [NodeJS.ErrnoException];
    expect(error.code).toEqual('EFAULT');
    peers[0].destroy();
    server.close();
  });
});
