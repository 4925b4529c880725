import {processPacer} from '@sardinestile/connections';
import type {UpstreamState} from '@sardinestile/fleet';
import {isFingerprint} from '@sardinestile/quarantine';
import type {GatewayContext} from './gateway_context.js';

/** Sets the gauges to the current state of the gateway; called for each scrape. */
export function refreshGauges(context: GatewayContext): void {
  const {metrics, fleet, connections, retryBudgets, clock} = context;
  const nowMs = clock.monotonicMs();
  const table = context.routes()?.table;
  metrics.setGauge('sardinestile_config_version', {}, table?.version ?? 0);
  metrics.setGauge(
    'sardinestile_config_age_seconds',
    {},
    context.configAgeMs() / 1000,
  );
  metrics.setGauge('sardinestile_gateways', {}, context.gateways.inFleet);
  metrics.setGauge(
    'sardinestile_upstreams_age_seconds',
    {},
    context.upstreamsAgeMs() / 1000,
  );
  const {peers, duty} = context;
  metrics.setGauge('sardinestile_peers', {}, peers().length);
  metrics.setGauge(
    'sardinestile_load_view_age_seconds',
    {},
    Math.max(
      0,
      ...peers().map(({sinceLastReceivedMs}) => sinceLastReceivedMs),
    ) / 1000,
  );
  metrics.setGauge('sardinestile_duty_held_by_some', {}, +duty.isHeldBySome());
  metrics.setGauge('sardinestile_duty_token', {}, duty.fencingToken() ?? 0);
  const harmful = context.quarantine.harmfulParts();
  const requests = harmful.filter(({partId}) => isFingerprint(partId));
  metrics.setGauge(
    'sardinestile_prompt_parts_quarantined',
    {},
    harmful.length - requests.length,
  );
  metrics.setGauge('sardinestile_requests_quarantined', {}, requests.length);
  const {open, idle} = connections.counts();
  metrics.setGauge('sardinestile_connections_open', {}, open);
  metrics.setGauge('sardinestile_connections_idle', {}, idle);
  for (const [zone, isInService] of fleet.membership.zones()) {
    const labels = {zone};
    metrics.setGauge('sardinestile_zone_out_of_service', labels, +!isInService);
  }
  const {memoryBudget} = context;
  for (const [kind, bytes] of Object.entries(memoryBudget.heldByKind())) {
    metrics.setGauge('sardinestile_held_bytes', {kind}, bytes);
  }
  metrics.setGauge(
    'sardinestile_held_bytes_limit',
    {},
    memoryBudget.limitBytes,
  );
  metrics.setGauge(
    'sardinestile_held_bytes_available',
    {},
    Math.max(0, memoryBudget.limitBytes - memoryBudget.heldBytes),
  );
  const {waitingConnections, waitingBytes, parsedMs} = processPacer.usage();
  metrics.setGauge('sardinestile_input_waiting', {}, waitingConnections);
  metrics.setGauge('sardinestile_input_waiting_bytes', {}, waitingBytes);
  metrics.setGauge('sardinestile_input_parse_seconds', {}, parsedMs / 1000);
  const {heapBudget} = context;
  metrics.setGauge('sardinestile_held_heap_bytes', {}, heapBudget.heldBytes);
  metrics.setGauge(
    'sardinestile_held_heap_bytes_limit',
    {},
    heapBudget.limitBytes,
  );
  for (const {name} of table?.services ?? []) {
    const records = fleet.membership.usableUpstreamsOf(name);
    const states = records.map(record => fleet.upstreamStateOf(record));
    const sum = (value: (state: UpstreamState) => number) =>
      states.reduce((total, state) => total + value(state), 0);
    const labels = {service: name};
    metrics.setGauge('sardinestile_upstreams', labels, records.length);
    metrics.setGauge(
      'sardinestile_upstreams_of_group',
      labels,
      fleet.upstreamsOf(name).length,
    );
    metrics.setGauge(
      'sardinestile_upstreams_shared_by_groups',
      labels,
      +fleet.isSharedByGroups(name),
    );
    const versions = new Set(
      records.map(({softwareVersion}) => softwareVersion),
    );
    metrics.setGauge('sardinestile_software_versions', labels, versions.size);
    metrics.setGauge(
      'sardinestile_upstreams_limited',
      labels,
      records.filter(record => fleet.requestLimits.isLimited(record)).length,
    );
    metrics.setGauge(
      'sardinestile_upstreams_cold',
      labels,
      records.filter(
        record => fleet.coldUpstreams.ratePerS(record, nowMs) !== undefined,
      ).length,
    );
    metrics.setGauge(
      'sardinestile_upstreams_in_doubt',
      labels,
      records.filter(record => fleet.coldUpstreams.isInDoubt(record)).length,
    );
    metrics.setGauge(
      'sardinestile_upstreams_resting',
      labels,
      sum(({health}) => (health.isUsable(nowMs) ? 0 : 1)),
    );
    metrics.setGauge(
      'sardinestile_requests_running',
      labels,
      sum(({running}) => running),
    );
    metrics.setGauge(
      'sardinestile_prefill_waiting_seconds',
      labels,
      sum(({prefillQueue}) => prefillQueue.totalMs(nowMs)) / 1000,
    );
    metrics.setGauge(
      'sardinestile_repeats_left',
      labels,
      retryBudgets.of(name).retriesLeft(nowMs),
    );
  }
}
