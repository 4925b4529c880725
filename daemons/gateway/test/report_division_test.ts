import {describe, it} from 'node:test';
import type {Logger} from '@sardinestile/logger';
import {createMetricsRegistry} from '@sardinestile/metrics';
import {expect} from 'earl';
import {reportDivision} from '../src/shared/report_division.js';

describe('reportDivision', () => {
  it('logs what the division depends on and names a bounded number of upstreams', async () => {
    const lines: object[] = [];
    const logger = {
      info: (event: string, fields: object) =>
        void lines.push({event, ...fields}),
    } as unknown as Logger;
    const metrics = createMetricsRegistry();
    const gainedIds = Array.from({length: 10}, (_, i) => `i${i}`);
    reportDivision(
      {
        service: 'pool',
        group: {index: 1, count: 2, gateways: 43},
        isShared: false,
        upstreams: 17,
        usableUpstreams: 35,
        gainedIds,
        releasedIds: ['j'],
        unheardPerSlot: 0.7512,
      },
      logger,
      metrics,
    );
    expect(lines).toEqual([
      {
        event: 'upstreams_divided',
        service: 'pool',
        isShared: false,
        group: 1,
        groups: 2,
        gateways: 43,
        upstreams: 17,
        usableUpstreams: 35,
        gainedCount: 10,
        gained: 'i0 i1 i2 i3 i4 i5 i6 i7',
        releasedCount: 1,
        released: 'j',
        unheardPerSlot: 0.75,
      },
    ]);
    const text = await metrics.render();
    expect(
      text.includes('sardinestile_upstreams_gained_total{service="pool"} 10'),
    ).toEqual(true);
  });
});
