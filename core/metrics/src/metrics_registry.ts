import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds of the buckets of durations, in seconds: from a token's time to the longest answers. */
const BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5,
  2.5, 5, 10, 30, 60,
];

/** Series of one family; further label values share one more. */
const MAX_SERIES = 1_000;

/** Value of every label of the series that takes what is beyond the limit. */
const OVERFLOW_VALUE = 'overflow';

/** Label names and values of one time series; a family's names are always the same. */
export type Labels = Readonly<Record<string, string>>;

/** Records counters, gauges and durations, and renders them for a scrape. */
export interface MetricsRegistry {
  increment(name: string, labels: Labels, by?: number): void;
  setGauge(name: string, labels: Labels, value: number): void;
  /** Records a duration in milliseconds under a name that ends in `_seconds`. */
  recordMs(name: string, labels: Labels, durationMs: number): void;
  /** Renders every series in the Prometheus text format. */
  render(): Promise<string>;
}

/** Series of one name by their labels, up to a limit. */
interface Family<Series> {
  of(labels: Labels): Series;
}

/** Makes an empty registry. */
export function createMetricsRegistry(): MetricsRegistry {
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
    const buckets = BUCKETS_SECONDS;
    const options = {name, help: name, labelNames, buckets, ...register};
    const histogram = new Histogram(options);
    return labels => histogram.labels(labels);
  });
  return {
    increment: (name, labels, by = 1) =>
      counters(name, labels).of(labels).inc(by),
    setGauge: (name, labels, value) =>
      gauges(name, labels).of(labels).set(value),
    recordMs: (name, labels, durationMs) =>
      histograms(name, labels)
        .of(labels)
        .observe(durationMs / 1000),
    render: () => registry.metrics(),
  };
}

/** Makes the families of one type; each is defined by its first use. */
function createFamilies<Series>(
  define: (name: string, labelNames: string[]) => (labels: Labels) => Series,
): (name: string, labels: Labels) => Family<Series> {
  const families = new Map<string, Family<Series>>();
  return (name, labels) => {
    let family = families.get(name);
    if (!family) {
      family = createFamily(define(name, Object.keys(labels)));
      families.set(name, family);
    }
    return family;
  };
}

/** Keeps the series that were made, so that a hot path finds its own at once. */
function createFamily<Series>(
  make: (labels: Labels) => Series,
): Family<Series> {
  const known = new Map<string, Series>();
  let overflow: Series | undefined;
  return {
    of(labels) {
      const key = Object.values(labels).join('\0');
      const series = known.get(key);
      if (series !== undefined) return series;
      if (known.size >= MAX_SERIES) {
        overflow ??= make(
          Object.fromEntries(
            Object.keys(labels).map(label => [label, OVERFLOW_VALUE]),
          ),
        );
        return overflow;
      }
      const made = make(labels);
      known.set(key, made);
      return made;
    },
  };
}
