import {command, number, option, optional, run, string} from 'cmd-ts';
import {checkBounds} from './policy/bounds.js';
import {loadDeployments, type Deployment} from './policy/deployment.js';
import {formatBoundCheck, formatResult} from './policy/format_result.js';
import {ROUTING_POLICIES, type PolicyName} from './policy/policies.js';
import {runScenario} from './policy/run_scenario.js';
import {runScalingDay} from './policy/scaling_day.js';
import {createScenarios, type Scenario} from './policy/scenario.js';

/**
 * Maximum upstream-hours of a day, relative to those of a clairvoyant scaler
 * that knows the load in advance.
 */
const MAX_UPSTREAM_HOURS_RATIO = 1.15;

/** Minimum share of a day's requests that find capacity. */
const MIN_SERVED_DEMAND_FRACTION = 0.95;

const POLICY_NAMES = Object.keys(ROUTING_POLICIES) as PolicyName[];

const main = command({
  name: 'bench:policy',
  description:
    'Measures the policies in virtual time. Exits with 1 if a bound is not met.',
  args: {
    seed: option({
      type: number,
      long: 'seed',
      description: 'seed of the random load',
      defaultValue: () => 1,
      defaultValueIsSerializable: true,
    }),
    scenario: option({
      type: optional(string),
      long: 'scenario',
      description: 'name of the only scenario to run',
    }),
    policy: option({
      type: optional(string),
      long: 'policy',
      description: `name of the only policy to run: ${POLICY_NAMES.join(', ')}`,
    }),
  },
  handler: ({seed, scenario: scenarioName, policy: policyName}) => {
    print(`seed ${seed}`);
    const policies = POLICY_NAMES.filter(n => !policyName || n === policyName);
    for (const deployment of loadDeployments()) {
      const {utilisation} = deployment.loadProfile;
      print(`${deployment.name}, steady load ${utilisation.toFixed(2)}`);
      createScenarios(deployment.loadProfile)
        .filter(({name}) => !scenarioName || name === scenarioName)
        .forEach(scenario =>
          comparePolicies(deployment, scenario, policies, seed),
        );
      if (!scenarioName) printScalingDay(deployment, seed);
    }
  },
});

function comparePolicies(
  deployment: Deployment,
  scenario: Scenario,
  policies: readonly PolicyName[],
  seed: number,
): void {
  print(`  ${scenario.name}`);
  for (const policy of policies) {
    const result = runScenario({deployment, scenario, policy, seed});
    print(`    ${formatResult(result)}`);
    if (policy !== 'sardinestile') continue;
    const checks = checkBounds(result);
    checks.forEach(check => print(formatBoundCheck(check)));
    if (checks.some(check => !check.isMet)) process.exitCode = 1;
  }
}

function printScalingDay(deployment: Deployment, seed: number): void {
  const day = runScalingDay(deployment, seed);
  const ratio = day.upstreamHours / day.clairvoyantUpstreamHours;
  print('  day_with_morning_peak');
  print(
    `    ${day.upstreamHours.toFixed(1)} upstream-hours, ` +
      `${ratio.toFixed(3)} x the clairvoyant ${day.clairvoyantUpstreamHours.toFixed(1)}, ` +
      `attainment ${(100 * day.servedDemandFraction).toFixed(1)}%, ${day.orderChanges} changes`,
  );
  const checks = [
    {
      name: 'upstream-hours are at most 1.15 x the clairvoyant',
      isMet: ratio <= MAX_UPSTREAM_HOURS_RATIO,
      measuredText: ratio.toFixed(3),
    },
    {
      name: 'the attainment is at least 95%',
      isMet: day.servedDemandFraction >= MIN_SERVED_DEMAND_FRACTION,
      measuredText: `${(100 * day.servedDemandFraction).toFixed(1)}%`,
    },
  ];
  checks.forEach(check => print(formatBoundCheck(check)));
  if (checks.some(check => !check.isMet)) process.exitCode = 1;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(main, process.argv.slice(2));
