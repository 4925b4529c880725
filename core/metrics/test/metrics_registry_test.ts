import {describe, it} from 'node:test';
import {createLogger} from '@sardinestile/logger';
import {expect} from 'earl';
import {createMetricsRegistry} from '../src/index.js';

/** More series than the limit of one metric. */
const SERIES_COUNT = 1_500;

describe('createMetricsRegistry', () => {
  it('renders counters, gauges and histograms in the text format', async () => {
    const metrics = createMetricsRegistry();
    metrics.increment('calls_total', {route: 'a'});
    metrics.increment('calls_total', {route: 'a'}, 2);
    metrics.setGauge('age_seconds', {}, 1.5);
    metrics.recordMs('call_seconds', {route: 'a'}, 60);
    const text = await metrics.render();
    expect(text).toInclude('# TYPE calls_total counter');
    expect(text).toInclude('calls_total{route="a"} 3');
    expect(text).toInclude('age_seconds 1.5');
    expect(text).toInclude('# TYPE call_seconds histogram');
    expect(text).toInclude('call_seconds_bucket{le="0.05",route="a"} 0');
    expect(text).toInclude('call_seconds_bucket{le="0.075",route="a"} 1');
    expect(text).toInclude('call_seconds_sum{route="a"} 0.06');
    expect(text).toInclude('call_seconds_count{route="a"} 1');
  });

  // Guards against a request, or a process, that ends because it could not be counted.
  it('drops a value that cannot be recorded, and says so', async () => {
    const lines: string[] = [];
    const logger = createLogger({
      level: 'warn',
      write: line => lines.push(line),
    });
    const metrics = createMetricsRegistry({logger});
    metrics.increment('calls_total', {route: 'a'});
    metrics.increment('calls_total', {route: 'b', 'no-label': 'c'});
    metrics.setGauge('not-a-name', {}, 1);
    metrics.recordMs('call_seconds', {}, NaN);
    metrics.increment('calls_total', {route: 'a'}, -1);
    expect(await metrics.render()).toInclude('calls_total{route="a"} 1');
    expect(lines.map(line => /metric=(\S+)/.exec(line)?.[1])).toEqual([
      'calls_total',
      'not-a-name',
      'call_seconds',
      'calls_total',
    ]);
  });

  it('limits the number of series and counts the rest in the overflow series', async () => {
    const metrics = createMetricsRegistry();
    for (let i = 0; i < SERIES_COUNT; i++) {
      metrics.increment('calls_total', {route: `r${i}`});
    }
    const text = await metrics.render();
    const lines = text.split('\n').filter(line => line.startsWith('calls_'));
    const total = lines.reduce(
      (sum, line) => sum + Number(line.split(' ')[1]),
      0,
    );
    expect(lines.length).toEqual(1_001);
    expect(total).toEqual(SERIES_COUNT);
    expect(text).toInclude('calls_total{route="overflow"} 500');
  });
});
