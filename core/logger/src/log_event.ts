/** Optional fields that identify a request and its upstream. */
export interface RequestFields {
  requestId?: string;
  organisation?: string;
  upstream?: string;
}

/** All log events with their fields. API keys and prompts must not be logged. */
export interface LogEvents {
  process_started: {
    role: string;
    instance: string;
    address: string;
    opsAddress: string;
    peerAddress?: string;
  };
  process_stopping: {instance: string; openRequests: number};
  process_stopped: {instance: string};
  request_finished: RequestFields & {
    requestClass: string;
    status: number;
    durationMs: number;
    firstTokenMs?: number;
    outputTokens: number;
    attempts: number;
  };
  request_refused: RequestFields & {
    requestClass?: string;
    code: string;
    outcome: string;
    retryAfterMs?: number;
  };
  attempt_failed: RequestFields & {
    attemptId: string;
    reason: string;
    outcome: string;
  };
  request_preempted: RequestFields & {attemptId: string};
  call_refused: {
    requestId?: string;
    code: string;
    status: number;
    route?: string;
    organisation?: string;
    retryAfterMs?: number;
    reason?: string;
    configVersion?: number;
  };
  call_beyond_share: {
    requestId: string;
    service: string;
    organisation: string;
    urgency: number;
    sharePerS: number;
    usagePerS: number;
    demandPerS: number;
    coveredPart: number;
    sumsAgeMs: number;
    backlogMs: number;
    allowedWaitMs: number;
    retryAfterMs: number;
  };
  log_suppressed: {suppressedEvent: string; lines: number};
  log_dropped: {lines: number};
  call_failed: {reason: string};
  call_abandoned: {requestId?: string};
  /** The response had begun; `reason` says why it did not go on. */
  call_broken_off: {requestId: string; reason: string};
  call_admitted: {
    requestId: string;
    route: string;
    service: string;
    organisation?: string;
    /** Scheduling rank among all requests; 0 is the most urgent. */
    urgency: number;
    deadlineMs: number;
    configVersion: number;
    /**
     * Upper bound of the time since that version was last confirmed to be the
     * newest.
     */
    configAgeMs?: number;
  };
  attempt_started: {
    requestId: string;
    attempt: number;
    upstream: string;
    /** Software version of the upstream. */
    softwareVersion?: string;
    isFreshConnection: boolean;
    /** Time for which the connection was idle before the attempt. */
    restedMs: number;
    /** Estimated number of prompt tokens that the engine must prefill. */
    unreadTokens: number;
    /** Engine from which cached prompt parts are copied. */
    copiedFrom?: string;
    expectedWaitMs: number;
    expectedFirstEventMs: number;
    /** Estimated number of requests running at the upstream. */
    running: number;
    /** Estimated ratio of the upstream's latency to the expected latency. */
    slowness: number;
    errorRate: number;
    /** Id of the last event that the caller has; the stream resumes after it. */
    resumeAfter?: number;
    /** Request that brought the first event of the stream that the caller resumes. */
    resumedRequest?: string;
  };
  attempt_ended: {
    requestId: string;
    attempt: number;
    upstream: string;
    outcome: string;
    reason?: string;
    /** Of a lost connection: whether the headers of the response had arrived. */
    hadHeaders?: boolean;
    /** Of a lost connection: equal for requests with equal path, caller and body. */
    fingerprint?: string;
    /** Of a lost connection: ids of the request's prompt parts. */
    promptParts?: string;
    status?: number;
    firstEventMs?: number;
    lastEventId?: number;
    durationMs: number;
  };
  call_ended: {
    requestId: string;
    route: string;
    organisation?: string;
    outcome: string;
    status?: number;
    attempts: number;
    firstEventMs?: number;
    durationMs: number;
  };
  config_rejected: {reason: string};
  settings_reloaded: {path: string; changed: string};
  settings_rejected: {path: string; reason: string};
  process_stood_still: {gapMs: number};
  session_opened: {peer: string};
  session_closed: {peer: string; reason: string};
  config_applied: {version: number; source: string};
  store_failed: {operation: string; reason: string};
  store_regained: {operation: string; awayMs: number};
  /**
   * `peer` is the gateway whose configuration is followed; absent if it is read
   * from the store.
   */
  config_source_changed: {peer?: string};
  upstreams_source_changed: {
    /**
     * Gateway from which the upstreams are read; absent if they are read from
     * the store.
     */
    peer?: string;
  };
  upstream_failed: {upstream: string; reason: string};
  /** `source` is `peer` or `engines`. */
  caches_recovered: {source: string; engines: number};
  upstream_crashed: {
    upstream: string;
    /** Number of different requests that it had not answered. */
    requests: number;
    /** Ids of their shared prompt parts, or the first ones. */
    promptParts: string;
    /** Their fingerprints, or the first ones. */
    fingerprints: string;
  };
  prompt_part_quarantined: {promptPart: string; crashes: number};
  prompt_part_released: {promptPart: string};
  request_quarantined: {fingerprint: string; crashes: number};
  request_released: {fingerprint: string};
  stream_versions_recorded: {versions: string};
  upstream_leaving: {upstream: string};
  upstream_quiet: {upstream: string; quietMs: number};
  /** `limitPerS` is absent if the upstream states no limit any more. */
  upstream_limit_changed: {upstream: string; limitPerS?: number};
  lease_acquired: {duty: string; fencingToken: number};
  lease_lost: {duty: string; fencingToken: number};
  upstreams_ordered: {
    service: string;
    availabilityZone: string;
    count: number;
    /** Number of slots that requests of the service occupy or wait for. */
    demandPlaces: number;
    fencingToken: number;
  };
  duty_call_failed: {operation: string; reason: string};
  /** A restore of the store may have deleted the seal of a reported window. */
  usage_skipped: {windowId: string};
  store_restored: {generation: number};
  usage_reported: {windowId: string; organisations: number};
  peer_found: {peer: string};
  peer_lost: {peer: string};
  peer_entry_removed: {entry: string};
  peer_link_failed: {reason: string};
  peer_failed: {operation: string; reason: string};
  upstream_rejected: {upstream: string; reason: string};
  command_failed: {code: string; message: string; hint?: string};
}

/** Name of a log event. */
export type LogEventName = keyof LogEvents;
