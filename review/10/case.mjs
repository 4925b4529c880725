// Engines that send interim responses without end.
import {playUnanswered} from '../unanswered-2.mjs';

await playUnanswered(import.meta.url, {
  createStart: () => '',
  block: Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(18_000)),
});
