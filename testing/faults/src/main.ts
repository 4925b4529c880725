import {PROTOCOLS} from './protocols.js';
import {runMatrix, type MatrixCell} from './run_matrix.js';

const MAX_PRINTED_FAILURES = 3;

function formatCell(cell: MatrixCell): string {
  const {protocol, fault, tried, passed, failures} = cell;
  return [
    protocol.padEnd(14),
    fault.padEnd(18),
    `tried ${tried}`.padEnd(12),
    `passed ${passed}`.padEnd(13),
    `failed ${failures.length}`,
  ].join(' ');
}

const cells = await runMatrix({
  protocols: PROTOCOLS,
  withPairs: !process.argv.includes('--singles'),
  hasMechanism: !process.argv.includes('--without-mechanism'),
});
for (const cell of cells) {
  process.stdout.write(`${formatCell(cell)}\n`);
  for (const failure of cell.failures.slice(0, MAX_PRINTED_FAILURES)) {
    process.stdout.write(`    ${JSON.stringify(failure)}\n`);
  }
}
if (cells.some(cell => cell.failures.length > 0)) process.exitCode = 1;
