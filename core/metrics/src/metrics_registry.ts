import {build, type Histogram} from 'hdr-histogram-js';

const QUANTILES = [0.5, 0.95, 0.99];
const SIGNIFICANT_DIGITS = 2;
const HIGHEST_TRACKABLE_US = 3_600_000_000;

/** Label names and values of one time series. */
export type Labels = Readonly<Record<string, string>>;

/** Records counters, gauges and durations, and renders them for a scrape. */
export interface MetricsRegistry {
  increment(name: string, labels: Labels, by?: number): void;
  setGauge(name: string, labels: Labels, value: number): void;
  /** Records a duration in milliseconds under a name that ends in `_seconds`. */
  recordMs(name: string, labels: Labels, durationMs: number): void;
  /** Renders every series in the Prometheus text format. */
  render(): string;
}

interface Summary {
  histogram: Histogram;
  sumMs: number;
  count: number;
}

/** Makes an empty registry. */
export function createMetricsRegistry(): MetricsRegistry {
  const counters = new Map<string, Map<string, number>>();
  const gauges = new Map<string, Map<string, number>>();
  const summaries = new Map<string, Map<string, Summary>>();
  return {
    increment(name, labels, by = 1) {
      const series = seriesOf(counters, name);
      const key = keyFor(series, labels);
      series.set(key, (series.get(key) ?? 0) + by);
    },
    setGauge(name, labels, value) {
      const series = seriesOf(gauges, name);
      series.set(keyFor(series, labels), value);
    },
    recordMs(name, labels, durationMs) {
      const series = seriesOf(summaries, name);
      const key = keyFor(series, labels);
      let summary = series.get(key);
      if (!summary) {
        summary = createSummary();
        series.set(key, summary);
      }
      recordDuration(summary, durationMs);
    },
    render() {
      return [
        ...renderPlain(counters, 'counter'),
        ...renderPlain(gauges, 'gauge'),
        ...renderSummaries(summaries),
        '',
      ].join('\n');
    },
  };
}

/** Series of one family; further label values share the last one. */
const MAX_SERIES = 1_000;

/** Labels of the series that takes what is beyond the limit. */
const OVERFLOW_LABELS = 'overflow="true"';

function keyFor<T>(series: ReadonlyMap<string, T>, labels: Labels): string {
  const key = formatLabels(labels);
  const hasRoom = series.has(key) || series.size < MAX_SERIES;
  return hasRoom ? key : OVERFLOW_LABELS;
}

function seriesOf<T>(families: Map<string, Map<string, T>>, name: string) {
  let series = families.get(name);
  if (!series) {
    series = new Map();
    families.set(name, series);
  }
  return series;
}

function createSummary(): Summary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_TRACKABLE_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });
  return {histogram, sumMs: 0, count: 0};
}

function recordDuration(summary: Summary, durationMs: number): void {
  const durationUs = Math.max(1, Math.round(durationMs * 1000));
  summary.histogram.recordValue(Math.min(durationUs, HIGHEST_TRACKABLE_US));
  summary.sumMs += durationMs;
  summary.count++;
}

function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
    .join(',');
}

function renderPlain(
  families: Map<string, Map<string, number>>,
  type: string,
): string[] {
  const lines: string[] = [];
  for (const [name, series] of families) {
    lines.push(`# TYPE ${name} ${type}`);
    for (const [labels, value] of series) {
      lines.push(`${name}${braced(labels)} ${value}`);
    }
  }
  return lines;
}

function renderSummaries(families: Map<string, Map<string, Summary>>) {
  const lines: string[] = [];
  for (const [name, series] of families) {
    lines.push(`# TYPE ${name} summary`);
    for (const [labels, summary] of series) {
      lines.push(...renderSummary(name, labels, summary));
    }
  }
  return lines;
}

function renderSummary(name: string, labels: string, summary: Summary) {
  const separator = labels ? ',' : '';
  const quantiles = QUANTILES.map(quantile => {
    const valueUs = summary.histogram.getValueAtPercentile(quantile * 100);
    const quantileLabel = `quantile="${quantile}"`;
    return `${name}{${labels}${separator}${quantileLabel}} ${valueUs / 1e6}`;
  });
  return [
    ...quantiles,
    `${name}_sum${braced(labels)} ${summary.sumMs / 1000}`,
    `${name}_count${braced(labels)} ${summary.count}`,
  ];
}

function braced(labels: string): string {
  return labels ? `{${labels}}` : '';
}
