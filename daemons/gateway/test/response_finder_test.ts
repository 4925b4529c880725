import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createResponseFinder} from '../src/calls/response_finder.js';

const OWN_HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: own\r\nStamp: s\r\n\r\n';

describe('a finder of responses within a body', () => {
  const find = (...parts: string[]) => {
    const finder = createResponseFinder(
      headers => headers['request-id'] === 'own',
    );
    return parts.map(part => finder.push(Buffer.from(part))).at(-1);
  };

  it('finds a head that is cut at any byte', () => {
    const body = `some bytes${OWN_HEAD}some bytes`;
    for (let at = 1; at < body.length; at++) {
      expect(find(body.slice(0, at), body.slice(at))).toEqual(true);
    }
  });

  it('finds a head that arrives byte by byte', () => {
    expect(find(...`x${OWN_HEAD}`)).toEqual(true);
  });

  it('finds a head behind another one and behind the start of one', () => {
    expect(find('HTTP/1.1 HTTP/1.1 200 OK\r\n\r\n', OWN_HEAD)).toEqual(true);
  });

  for (const [name, text] of Object.entries({
    'a head that names another request': OWN_HEAD.replace('own', 'other'),
    'a request that names the same id':
      'POST / HTTP/1.1\r\nRequest-Id: own\r\n\r\n',
    'a head that does not end': OWN_HEAD.trimEnd(),
    'many starts of status lines': 'HTTP/1.'.repeat(9_000),
  })) {
    it(`does not find ${name}`, () => {
      expect(find('x', text)).toEqual(false);
    });
  }

  it('finds a head behind status lines that are too far away from its end', () => {
    const lines = 'HTTP/1.1 200 OK\r\n'.repeat(300);
    expect(find(lines, OWN_HEAD)).toEqual(true);
  });

  it('finds a head behind any number of bytes', () => {
    for (const bytes of [4_000, 4_096, 12_288, 16_380, 65_536, 100_000]) {
      expect(find('x'.repeat(bytes), OWN_HEAD)).toEqual(true);
      expect(
        find(...('x'.repeat(bytes) + OWN_HEAD).match(/.{1,777}/gs)!),
      ).toEqual(true);
    }
  });

  // Guards against status lines without end, each of which was parsed with all behind it.
  it('parses each byte of a body at most once', () => {
    let heads = 0;
    let parsedLines = 0;
    const finder = createResponseFinder(headers => {
      heads++;
      parsedLines += Object.keys(headers).length;
      return false;
    });
    const block = Array.from(
      {length: 120},
      (_, i) => `HTTP/1.1 200 OK\r\nx-${i}: 1\r\n`,
    ).join('');
    const blocks = 50;
    for (let i = 0; i < blocks; i++) finder.push(Buffer.from(`${block}\r\n`));
    expect(heads).toEqual(blocks);
    expect(parsedLines).toBeLessThanOrEqual(blocks * 2 * 120);
  });
});
