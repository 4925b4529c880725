import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  forwardableRequestHeaders,
  forwardableResponseHeaders,
} from '../src/forwarded_headers.js';

describe('forwardableRequestHeaders', () => {
  it('removes keys, hop-by-hop headers and headers listed in Connection', () => {
    const headers = new Headers({
      authorization: 'Bearer sk-1',
      'x-api-key': 'sk-1',
      connection: 'keep-alive, x-trace',
      'x-trace': 'hop',
      'keep-alive': 'timeout=5',
      te: 'trailers',
      host: 'h',
      'content-type': 'application/json',
      'x-kept': 'yes',
    });
    expect(forwardableRequestHeaders(headers)).toEqual([
      {name: 'content-type', value: 'application/json'},
      {name: 'x-kept', value: 'yes'},
    ]);
  });
});

describe('forwardableResponseHeaders', () => {
  it('keeps repeated headers and removes hop-by-hop headers', () => {
    const headers = [
      {name: 'set-cookie', value: 'a=1'},
      {name: 'set-cookie', value: 'b=2'},
      {name: 'transfer-encoding', value: 'chunked'},
      {name: 'connection', value: 'x-hop'},
      {name: 'x-hop', value: '1'},
    ];
    expect(forwardableResponseHeaders(headers)).toEqual([
      {name: 'set-cookie', value: 'a=1'},
      {name: 'set-cookie', value: 'b=2'},
    ]);
  });
});
