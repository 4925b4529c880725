import {
  boundOf,
  createMovingAverage,
  createPredictionError,
  type MovingAverage,
  type PredictionError,
} from '@sardinestile/prediction';

/** Weight of the newest sample in the averages. */
const NEWEST_WEIGHT = 0.05;

/** Measured times of responses. A bound is what 95 in 100 of them stay below. */
export interface ResponseTimes {
  /** Error of the expected times to the response, or the first event, of a service. */
  errorOf(service: string): PredictionError;
  /** Adds an expected service time; returns the bound of those of the route. */
  observeServiceTime(route: string, serviceTimeMs: number): number;
  /** Returns the bound of the expected service times of a route; 0 without samples. */
  serviceTimeMs(route: string): number;
  /** Adds the time from the first event of a stream to its end. */
  recordStreamRest(route: string, restMs: number): void;
  /** Returns the bound of the time from the first event to the end; 0 without samples. */
  streamRestMs(route: string): number;
}

/** Creates times without samples. */
export function createResponseTimes(): ResponseTimes {
  const errors = new Map<string, PredictionError>();
  const serviceTimes = new Map<string, MovingAverage>();
  const streamRests = new Map<string, MovingAverage>();
  const averageOf = (averages: Map<string, MovingAverage>, name: string) => {
    let average = averages.get(name);
    if (!average) {
      averages.set(name, (average = createMovingAverage(NEWEST_WEIGHT)));
    }
    return average;
  };
  return {
    errorOf(service) {
      let error = errors.get(service);
      if (!error) errors.set(service, (error = createPredictionError()));
      return error;
    },
    observeServiceTime(route, serviceTimeMs) {
      const average = averageOf(serviceTimes, route);
      average.add(serviceTimeMs);
      return boundOf(average);
    },
    serviceTimeMs: route => boundOf(averageOf(serviceTimes, route)),
    recordStreamRest: (route, restMs) =>
      averageOf(streamRests, route).add(restMs),
    streamRestMs: route => boundOf(averageOf(streamRests, route)),
  };
}
