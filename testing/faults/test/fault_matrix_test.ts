import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PROTOCOLS, runMatrix} from '../src/index.js';

describe('the fault matrix', () => {
  for (const protocol of PROTOCOLS) {
    describe(`${protocol.name}: ${protocol.guarantee}`, () => {
      const options = {protocols: [protocol], withPairs: false};

      it('keeps its invariants under each fault at each step', async () => {
        const cells = await runMatrix({...options, hasMechanism: true});
        expect(cells.flatMap(cell => cell.failures)).toEqual([]);
      });

      it('violates an invariant when its mechanism is off', async () => {
        const cells = await runMatrix({...options, hasMechanism: false});
        const failures = cells.flatMap(cell => cell.failures);
        expect(failures.length).toBeGreaterThan(0);
      });
    });
  }
});
