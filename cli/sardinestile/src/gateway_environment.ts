import {SardinestileError} from '@sardinestile/errors';
import {resourceCostsSchema, type ResourceCosts} from '@sardinestile/fleet';
import {
  DEFAULT_OUTPUT_TOKEN_WEIGHT,
  type FairShareSettings,
} from '@sardinestile/gateway';
import {logLevelSchema, type LogLevel} from '@sardinestile/logger';
import {z} from 'zod';

/** Environment variables of a gateway. */
export const GATEWAY_VARIABLES = {
  logLevel: 'SARDINESTILE_LOG_LEVEL',
  copyCost: 'SARDINESTILE_COPY_COST_MS_PER_1000_TOKENS',
  recomputeCost: 'SARDINESTILE_RECOMPUTE_COST_MS_PER_1000_TOKENS',
  fairShares: 'SARDINESTILE_FAIR_SHARES',
  outputTokenWeight: 'SARDINESTILE_OUTPUT_TOKEN_WEIGHT',
} as const;

const costSchema = z
  .string()
  .regex(/^\d+(\.\d+)?$/, 'expected a number of milliseconds')
  .transform(Number)
  .optional();

const weightSchema = z
  .string()
  .regex(/^\d+(\.\d+)?$/, 'expected a number')
  .transform(Number)
  .default(DEFAULT_OUTPUT_TOKEN_WEIGHT);

const environmentSchema = z.object({
  [GATEWAY_VARIABLES.logLevel]: logLevelSchema.default('info'),
  [GATEWAY_VARIABLES.copyCost]: costSchema,
  [GATEWAY_VARIABLES.recomputeCost]: costSchema,
  [GATEWAY_VARIABLES.fairShares]: z.enum(['on', 'off']).default('off'),
  [GATEWAY_VARIABLES.outputTokenWeight]: weightSchema,
});

/** Settings of a gateway that its environment states. */
export interface GatewayEnvironment {
  /** Minimum level of the log lines that are written. */
  logLevel: LogLevel;
  resourceCosts: ResourceCosts;
  /** Sharing of scarce capacity between organisations. */
  fairShares: FairShareSettings;
}

/**
 * Reads the settings from the environment; throws one `SETTINGS_INVALID` error
 * that lists all invalid variables.
 */
export function readGatewayEnvironment(
  environment: Readonly<Record<string, string | undefined>>,
): GatewayEnvironment {
  const result = environmentSchema.safeParse(environment);
  if (!result.success) {
    const values = new Map(Object.entries(environment));
    const problems = result.error.issues.map(
      ({path, message}) =>
        `${path.join('.')} is "${values.get(String(path[0]))}": ${message}`,
    );
    throw new SardinestileError({
      code: 'SETTINGS_INVALID',
      message: problems.join('; '),
      hint: 'Correct or unset these environment variables.',
    });
  }
  const {data} = result;
  return {
    logLevel: data[GATEWAY_VARIABLES.logLevel],
    resourceCosts: resourceCostsSchema.parse({
      copyMsPerThousandTokens: data[GATEWAY_VARIABLES.copyCost],
      recomputeMsPerThousandTokens: data[GATEWAY_VARIABLES.recomputeCost],
    }),
    fairShares: {
      isEnabled: data[GATEWAY_VARIABLES.fairShares] === 'on',
      outputTokenWeight: data[GATEWAY_VARIABLES.outputTokenWeight],
    },
  };
}
