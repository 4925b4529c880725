import {describe} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {expect} from 'earl';
import {loadDeployments} from '../src/policy/deployment.js';
import {runScalingDay} from '../src/policy/scaling_day.js';

const SEED = 1;
const MAX_UPSTREAM_HOURS_RATIO = 1.15;
const MIN_ATTAINMENT = 0.95;

describe('a day with a morning peak', () => {
  for (const deployment of loadDeployments()) {
    const day = runScalingDay(deployment, SEED);
    const ratio = day.upstreamHours / day.clairvoyantUpstreamHours;

    itOrKnownRed(`${deployment.name} day: pays at most 1.15 x`, () => {
      expect(ratio).toBeLessThanOrEqual(MAX_UPSTREAM_HOURS_RATIO);
    });
    itOrKnownRed(`${deployment.name} day: keeps the attainment`, () => {
      expect(day.servedDemandFraction).toBeGreaterThanOrEqual(MIN_ATTAINMENT);
    });
  }
});
