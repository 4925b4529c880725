import {getHeapStatistics} from 'node:v8';
import {createLogger, type Logger} from '@sardinestile/logger';
import {readPeakResidentBytes} from '@sardinestile/memory';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/**
 * Upper bounds of the duration buckets, from the time of one token to the
 * longest responses.
 */
const DURATION_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5,
  2.5, 5, 10, 30, 60,
];

/**
 * Limit of the series of one metric; all further label values share one
 * overflow series.
 */
const MAX_SERIES_PER_FAMILY = 1_000;

/** Unix time at which this process started. */
const PROCESS_STARTED_AT_SECONDS = performance.timeOrigin / 1000;

/** Value of every label of the overflow series. */
const OVERFLOW_VALUE = 'overflow';

/**
 * Label names and values of one time series. All series of a metric have the
 * same label names.
 */
export type Labels = Readonly<Record<string, string>>;

/**
 * Records counters, gauges and duration histograms, and renders them for
 * Prometheus. A value that cannot be recorded is dropped and reported; recording
 * never throws, as what is measured has to go on.
 */
export interface MetricsRegistry {
  increment(name: string, labels: Labels, by?: number): void;
  setGauge(name: string, labels: Labels, value: number): void;
  /** Records a duration in milliseconds under a name that ends in `_seconds`. */
  recordMs(name: string, labels: Labels, durationMs: number): void;
  /** Renders every series in the Prometheus text format. */
  render(): Promise<string>;
}

/** The series of one metric, up to a limit. */
interface Family<Series> {
  seriesFor(labels: Labels): Series;
}

/** Options for `createMetricsRegistry`. */
export interface MetricsRegistryOptions {
  /** Receives the values that are dropped; writes warnings to standard output by default. */
  logger?: Logger;
}

/** Creates an empty registry. */
export function createMetricsRegistry({
  logger = createLogger({level: 'warn'}),
}: MetricsRegistryOptions = {}): MetricsRegistry {
  const registry = new Registry();
  const register = {registers: [registry]};
  const counters = createFamilies((name, labelNames) => {
    const counter = new Counter({name, help: name, labelNames, ...register});
    return labels => counter.labels(labels);
  });
  const gauges = createFamilies((name, labelNames) => {
    const gauge = new Gauge({name, help: name, labelNames, ...register});
    return labels => gauge.labels(labels);
  });
  const histograms = createFamilies((name, labelNames) => {
    const buckets = DURATION_BUCKETS_SECONDS;
    const options = {name, help: name, labelNames, buckets, ...register};
    const histogram = new Histogram(options);
    return labels => histogram.labels(labels);
  });
  const record = (name: string, apply: () => void) => {
    try {
      apply();
    } catch (error) {
      const {message: reason} = error as Error;
      logger.warn('metric_dropped', {metric: name, reason});
    }
  };
  const setGauge = (name: string, labels: Labels, value: number) =>
    record(name, () => gauges(name, labels).seriesFor(labels).set(value));
  return {
    increment: (name, labels, by = 1) =>
      record(name, () => counters(name, labels).seriesFor(labels).inc(by)),
    setGauge,
    recordMs: (name, labels, durationMs) =>
      record(name, () =>
        histograms(name, labels)
          .seriesFor(labels)
          .observe(durationMs / 1000),
      ),
    render() {
      const processGauges = readProcessGauges();
      for (const [name, value] of Object.entries(processGauges)) {
        setGauge(name, {}, value);
      }
      return registry.metrics();
    },
  };
}

/** Returns the memory of this process in bytes, and the Unix time of its start. */
function readProcessGauges(): Record<string, number> {
  const {used_heap_size: heapUsed, heap_size_limit: heapLimit} =
    getHeapStatistics();
  return {
    ...readResidentBytes(),
    sardinestile_process_heap_used_bytes: heapUsed,
    sardinestile_process_heap_limit_bytes: heapLimit,
    sardinestile_process_start_time_seconds: PROCESS_STARTED_AT_SECONDS,
  };
}

function readResidentBytes(): Record<string, number> {
  try {
    const {rss, arrayBuffers} = process.memoryUsage();
    const peakBytes = readPeakResidentBytes();
    return {
      ...(peakBytes && {sardinestile_process_resident_peak_bytes: peakBytes}),
      sardinestile_process_resident_bytes: rss,
      sardinestile_process_buffer_bytes: arrayBuffers,
    };
  } catch {
    // It is read from a file; the process has no descriptor left.
    return {};
  }
}

/**
 * Creates the families of one metric type. The first use of a name defines its
 * family.
 */
function createFamilies<Series>(
  defineMetric: (
    name: string,
    labelNames: string[],
  ) => (labels: Labels) => Series,
): (name: string, labels: Labels) => Family<Series> {
  const families = new Map<string, Family<Series>>();
  return (name, labels) => {
    let family = families.get(name);
    if (!family) {
      family = createFamily(defineMetric(name, Object.keys(labels)));
      families.set(name, family);
    }
    return family;
  };
}

/**
 * Caches the series by label values, so that hot paths skip the client
 * library's lookup.
 */
function createFamily<Series>(
  createSeries: (labels: Labels) => Series,
): Family<Series> {
  const seriesByKey = new Map<string, Series>();
  let overflow: Series | undefined;
  return {
    seriesFor(labels) {
      const key = Object.values(labels).join('\0');
      const series = seriesByKey.get(key);
      if (series !== undefined) return series;
      if (seriesByKey.size >= MAX_SERIES_PER_FAMILY) {
        overflow ??= createSeries(
          Object.fromEntries(
            Object.keys(labels).map(label => [label, OVERFLOW_VALUE]),
          ),
        );
        return overflow;
      }
      const created = createSeries(labels);
      seriesByKey.set(key, created);
      return created;
    },
  };
}
