import {describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {expect} from 'earl';
import {createMemoryRefusalApi} from '../src/caller_api.js';
import type {EntryContext} from '../src/entry_context.js';

describe('an entry whose heap has no room', () => {
  for (const path of ['/v1/chat/completions', '/v1/models', '/any']) {
    it(`says that a request to ${path} has not run and may return`, async () => {
      const context = {
        logger: createLogger({level: 'error'}),
        metrics: createMetricsRegistry(),
      } as unknown as EntryContext;
      const api = createMemoryRefusalApi(context);
      const response = await api.request(path, {method: 'POST', body: 'b'});
      expect(response.status).toEqual(503);
      expect(response.headers.get('retry-after')).toEqual('1');
      const {error} = (await response.json()) as {error: object};
      expect(error).toEqual(
        expect.subset({
          code: 'memory_short',
          outcome: 'not_run',
          request_id: response.headers.get('x-request-id'),
        }),
      );
      const metrics = await context.metrics.render();
      expect(metrics).toInclude('sardinestile_refused_total');
    });
  }
});
