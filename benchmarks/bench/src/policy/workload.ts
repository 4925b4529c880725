import {createSeededRandom, type RandomSource} from '@sardinestile/types';
import type {RequestClass, ServiceText} from '@sardinestile/service_text';

/** Steady request rate and mean sizes of one request class. */
export interface ClassLoad {
  requestClass: string;
  requestsPerS: number;
  promptTokensMean: number;
  outputTokensMean: number;
}

/** A request of the generated open-loop load. */
export interface LoadRequest {
  id: string;
  arrivesAtMs: number;
  requestClass: RequestClass;
  organisation: string;
  promptTokens: number;
  outputTokens: number;
  /** Identifies the prompt prefix that this request shares with others. */
  prefixKey: string;
}

/**
 * Returns the request rate of a class and organisation at a time, relative to
 * their steady rate.
 */
export type LoadFactor = (
  requestClass: RequestClass,
  organisation: string,
  atMs: number,
) => number;

/** Options for generateWorkload. */
export interface WorkloadOptions {
  serviceText: ServiceText;
  classLoads: readonly ClassLoad[];
  durationMs: number;
  seed: number;
  /** Highest value that `loadFactor` returns. */
  maxLoadFactor: number;
  loadFactor: LoadFactor;
}

/** Standard deviation of the natural logarithm of prompt and output sizes. */
const SIZE_LOG_SIGMA = 0.6;

/** Limits of a size, relative to the mean. */
const MIN_SIZE_RATIO = 0.1;
const MAX_SIZE_RATIO = 3;

/** Different prompt prefixes per class and organisation. */
const PREFIXES_PER_STREAM = 3;

/**
 * Generates the requests of all classes and organisations, in order of arrival.
 * Arrivals are Poisson processes and sizes are log-normal. The router learns the
 * size of an output only as it is produced.
 */
export function generateWorkload(options: WorkloadOptions): LoadRequest[] {
  const {serviceText, classLoads} = options;
  const weights = serviceText.organisations.map(
    organisation => organisation.weight,
  );
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const requests = classLoads.flatMap((load, classIndex) =>
    serviceText.organisations.flatMap((organisation, index) =>
      generateArrivals(options, load, {
        organisation: organisation.name,
        requestsPerMs:
          (load.requestsPerS * weights[index]) / totalWeight / 1000,
        seed: options.seed * 1009 + classIndex * 101 + index,
      }),
    ),
  );
  return requests.sort((a, b) => a.arrivesAtMs - b.arrivesAtMs);
}

/** Arrival process of one class and organisation. */
interface ArrivalStream {
  organisation: string;
  requestsPerMs: number;
  seed: number;
}

function generateArrivals(
  options: WorkloadOptions,
  load: ClassLoad,
  stream: ArrivalStream,
): LoadRequest[] {
  const random = createSeededRandom(stream.seed);
  const requestClass = options.serviceText.requestClasses.find(
    candidate => candidate.name === load.requestClass,
  )!;
  const requests: LoadRequest[] = [];
  const maxRequestsPerMs = stream.requestsPerMs * options.maxLoadFactor;
  for (let atMs = 0; ;) {
    atMs += sampleExponential(random) / maxRequestsPerMs;
    if (atMs >= options.durationMs) return requests;
    const loadFactor = options.loadFactor(
      requestClass,
      stream.organisation,
      atMs,
    );
    // Thinning: arrivals are drawn at the highest rate and kept with a
    // probability that reduces it to the current rate.
    if (random.next() * options.maxLoadFactor >= loadFactor) continue;
    const prefix = Math.floor(random.next() * PREFIXES_PER_STREAM);
    requests.push({
      id: `${load.requestClass}/${stream.organisation}/${requests.length}`,
      arrivesAtMs: atMs,
      requestClass,
      organisation: stream.organisation,
      promptTokens: sampleLogNormal(random, load.promptTokensMean),
      outputTokens: sampleLogNormal(random, load.outputTokensMean),
      prefixKey: `${load.requestClass}/${stream.organisation}/${prefix}`,
    });
  }
}

/** Samples an exponential distribution with mean 1. */
function sampleExponential(random: RandomSource): number {
  return -Math.log(1 - random.next());
}

/**
 * Samples a log-normal size, limited to a range around the mean. The normal
 * variable comes from a Box-Muller transform.
 */
function sampleLogNormal(random: RandomSource, mean: number): number {
  const radius = Math.sqrt(2 * sampleExponential(random));
  const standardNormal = radius * Math.cos(2 * Math.PI * random.next());
  const ratio = Math.exp(
    SIZE_LOG_SIGMA * standardNormal - SIZE_LOG_SIGMA ** 2 / 2,
  );
  const bounded = Math.min(MAX_SIZE_RATIO, Math.max(MIN_SIZE_RATIO, ratio));
  return Math.max(1, Math.round(mean * bounded));
}
