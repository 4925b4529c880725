import {startRole, type HostRole} from './host_process.js';

const role = JSON.parse(process.argv[2]) as HostRole;
process.stdout.write(`${JSON.stringify(await startRole(role))}\n`);
