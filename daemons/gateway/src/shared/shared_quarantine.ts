import type {LivePeer} from '@sardinestile/ledger';
import type {Logger} from '@sardinestile/logger';
import type {MetricsRegistry} from '@sardinestile/metrics';
import {hashText, rendezvousWeight} from '@sardinestile/placement';
import type {TableService} from '@sardinestile/ports';
import {
  createQuarantine,
  isFingerprint,
  splitCrash,
  type EvidenceItem,
  type Quarantine,
} from '@sardinestile/quarantine';
import {startEvidenceStore} from './evidence_store.js';
import type {FleetReporter} from './fleet_reporter.js';
import {chooseStoreReader} from './store_reader.js';

/**
 * Interval at which a gateway repeats evidence to its peers, in milliseconds:
 * datagrams may be lost, and a peer may have started later.
 */
const REPEAT_INTERVAL_MS = 500;

/** Number of peers whose repeats a gateway receives in that interval on average. */
const REPEATING_PEERS = 4;

/** Options for `startSharedQuarantine`. */
export interface SharedQuarantineOptions {
  instance: string;
  table: TableService;
  /** Unix time in milliseconds on which the gateways agree. */
  fleetTimeMs: () => number;
  /** Gateways of the same group whose heartbeats arrived recently. */
  livePeers: () => readonly LivePeer[];
  /** All registered gateways of the fleet, this one included. */
  registeredNames: () => readonly string[];
  /** Whether some gateways of the fleet do not hear this one. */
  hasUnheardGateways: () => boolean;
  reporter: FleetReporter;
  logger: Logger;
  metrics: MetricsRegistry;
}

/** Quarantine whose evidence all gateways share. */
export interface SharedQuarantine {
  readonly quarantine: Quarantine;
  recordFromPeer(item: EvidenceItem): void;
  /** Reads the store again, after a pause of this process or a restore of the store. */
  reread(): void;
  stop(): void;
}

/** Starts to share evidence about prompt parts and requests with the peers and the store. */
export function startSharedQuarantine(
  options: SharedQuarantineOptions,
): SharedQuarantine {
  const {instance, livePeers, reporter, logger, metrics} = options;
  const report = (item: EvidenceItem) =>
    splitCrash(item).forEach(reporter.reportEvidence);
  const quarantine = createQuarantine({
    nowMs: () => Math.round(options.fleetTimeMs()),
    isTrialGateway: key =>
      chooseName(options.registeredNames(), key) === instance,
    onItem(item) {
      report(item);
      store.scheduleWrite();
    },
    onQuarantined({partId, crashes}) {
      if (isFingerprint(partId)) {
        metrics.increment('sardinestile_request_quarantines_total', {});
        logger.warn('request_quarantined', {fingerprint: partId, crashes});
        return;
      }
      metrics.increment('sardinestile_prompt_part_quarantines_total', {});
      logger.warn('prompt_part_quarantined', {promptPart: partId, crashes});
    },
    onReleased(partId) {
      if (isFingerprint(partId)) {
        logger.info('request_released', {fingerprint: partId});
      } else {
        logger.info('prompt_part_released', {promptPart: partId});
      }
    },
  });
  const store = startEvidenceStore({
    table: options.table,
    quarantine,
    isReader: () => chooseStoreReader(instance, livePeers()) === undefined,
    hasUnheardGateways: options.hasUnheardGateways,
    logger,
  });
  /** Sends a harmful part and a piece of the other evidence, less often the more peers do. */
  const repeat = () => {
    if (Math.random() * livePeers().length >= REPEATING_PEERS) return;
    const items = [
      pickRandom(quarantine.harmfulParts()),
      pickRandom(quarantine.itemsToRepeat()),
    ];
    for (const item of items) {
      if (item) report(item);
    }
  };
  const repeats = setInterval(repeat, REPEAT_INTERVAL_MS);
  return {
    quarantine,
    recordFromPeer(item) {
      if (quarantine.record(item, 'other')) store.scheduleWrite();
    },
    reread: () => store.reread(),
    stop() {
      clearInterval(repeats);
      store.stop();
    },
  };
}

/** Returns the name with the highest weight for the key; the same one in every process. */
function chooseName(names: readonly string[], key: string): string {
  const keyHash = hashText(key);
  const weightOf = (name: string) => rendezvousWeight(keyHash, hashText(name));
  return names.reduce((best, name) =>
    weightOf(name) > weightOf(best) ? name : best,
  );
}

function pickRandom<T>(items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)];
}
