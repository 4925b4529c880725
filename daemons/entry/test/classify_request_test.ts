import {describe, it} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {ServiceText} from '@sardinestile/service_text';
import {expect} from 'earl';
import {classifyEngineCall} from '../src/classify_request.js';

const MB = 1_048_576;
const CALLS = 20;
const MAX_HEAP_GROWTH_BYTES = 2 * MB;

const SERVICE_TEXT = {
  services: [{name: 'answers', models: ['m']}],
  requestClasses: [{name: 'usual', service: 'answers', isDefault: true}],
} as unknown as ServiceText;

const BODIES = {
  chat: {messages: [{role: 'user', content: 'c'.repeat(MB)}]},
  completion: {prompt: 'c'.repeat(MB)},
} as const;

function readUsedHeap(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

describe('classifyEngineCall', () => {
  for (const call of ['chat', 'completion'] as const) {
    it(`keeps no part of the body of a ${call} in the heap while the request is open`, () => {
      const bytes = Buffer.from(JSON.stringify({model: 'm', ...BODIES[call]}));
      const classify = () =>
        classifyEngineCall(SERVICE_TEXT, call, bytes, null).unwrap();
      classify();
      const before = readUsedHeap();
      const open = Array.from({length: CALLS}, classify);
      expect(readUsedHeap() - before).toBeLessThan(MAX_HEAP_GROWTH_BYTES);
      expect(open.map(({promptTokens}) => promptTokens > MB / 5)).toEqual(
        Array.from({length: CALLS}, () => true),
      );
    });
  }
});
