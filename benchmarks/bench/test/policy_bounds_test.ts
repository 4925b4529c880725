import {describe} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {checkBounds} from '../src/policy/bounds.js';
import {loadDeployments} from '../src/policy/deployment.js';
import {runScenario} from '../src/policy/run_scenario.js';
import {createScenarios} from '../src/policy/scenario.js';

const SEED = 1;

describe('policies in virtual time', () => {
  for (const deployment of loadDeployments()) {
    describe(deployment.name, () => {
      for (const scenario of createScenarios(deployment.loadProfile)) {
        describe(scenario.name, () => {
          const policy = 'sardinestile';
          const options = {deployment, scenario, policy, seed: SEED} as const;
          for (const check of checkBounds(runScenario(options))) {
            const name = `${deployment.name} ${scenario.name}: ${check.name}`;
            itOrKnownRed(name, () => {
              if (!check.isMet) throw new Error(`value ${check.measuredText}`);
            });
          }
        });
      }
    });
  }
});
