import {describe, it} from 'node:test';
import {expect} from 'earl';
import {DEFAULT_RESOURCE_COSTS} from '@sardinestile/fleet';
import {readGatewayEnvironment} from '../src/gateway_environment.js';

describe('readGatewayEnvironment', () => {
  it('uses the defaults if nothing is set', () => {
    expect(readGatewayEnvironment({})).toEqual({
      logLevel: 'info',
      resourceCosts: DEFAULT_RESOURCE_COSTS,
      fairShares: {isEnabled: false, outputTokenWeight: 4},
    });
  });

  it('reads the settings of fair shares', () => {
    const {fairShares} = readGatewayEnvironment({
      SARDINESTILE_FAIR_SHARES: 'on',
      SARDINESTILE_OUTPUT_TOKEN_WEIGHT: '2.5',
    });
    expect(fairShares).toEqual({isEnabled: true, outputTokenWeight: 2.5});
  });

  it('reads the costs of copied and recomputed prompt tokens', () => {
    const {resourceCosts} = readGatewayEnvironment({
      SARDINESTILE_COPY_COST_MS_PER_1000_TOKENS: '7.5',
      SARDINESTILE_RECOMPUTE_COST_MS_PER_1000_TOKENS: '0',
    });
    expect(resourceCosts).toEqual({
      copyMsPerThousandTokens: 7.5,
      recomputeMsPerThousandTokens: 0,
    });
  });

  it('lists all invalid variables with their values', () => {
    expect(() =>
      readGatewayEnvironment({
        SARDINESTILE_LOG_LEVEL: 'loud',
        SARDINESTILE_COPY_COST_MS_PER_1000_TOKENS: '-1',
        SARDINESTILE_OUTPUT_TOKEN_WEIGHT: '-4',
        SARDINESTILE_FAIR_SHARES: 'yes',
      }),
    ).toThrow(
      /SARDINESTILE_LOG_LEVEL is "loud".*SARDINESTILE_COPY_COST_MS_PER_1000_TOKENS is "-1".*SARDINESTILE_FAIR_SHARES is "yes".*SARDINESTILE_OUTPUT_TOKEN_WEIGHT is "-4"/,
    );
  });
});
