/** Optional fields that identify a request and its upstream. */
export interface RequestFields {
  requestId?: string;
  organisation?: string;
  upstream?: string;
}

/** Change of an availability zone. */
interface ZoneEvent {
  availabilityZone: string;
  storeVersion: number;
  /** `store` or `peer`. */
  source: string;
}

/** Memory of this process, in megabytes. */
interface ProcessMemoryFields {
  /** Absent while the process has no descriptor left to read it. */
  residentMb?: number;
  /** Largest resident memory since the process started; absent as `residentMb`. */
  residentPeakMb?: number;
  /** Buffers outside of the heap, used or not collected yet; absent as `residentMb`. */
  bufferMb?: number;
  heapUsedMb: number;
  /** The process is aborted when its heap exceeds this. */
  heapLimitMb: number;
}

interface MemoryLimitFields {
  /** The platform kills the process when its resident memory exceeds this; absent for no limit. */
  memoryLimitMb?: number;
}

/** Address of this process that is opened, as host:port. */
interface AddressFields {
  /** What is served there. */
  purpose: string;
  address: string;
}

/** All log events with their fields. API keys and prompts must not be logged. */
export interface LogEvents {
  /** The process has begun to run and starts to listen; it serves from `process_started` on. */
  process_starting: ProcessMemoryFields & {
    role: string;
    pid: number;
    nodeVersion: string;
    uptimeMs: number;
  };
  process_started: {
    role: string;
    instance: string;
    address: string;
    opsAddress: string;
    peerAddress?: string;
    /** Time since the process started. */
    startMs?: number;
    /** Addresses that were not available at once, as `purpose:ms`, by commas. */
    addressWaits?: string;
  };
  /** The address is taken, or no interface has it; it is tried again. */
  address_waiting: AddressFields & {reason: string};
  address_opened: AddressFields & {waitMs: number};
  /** An error that cannot pass keeps a server that the process does not need from listening. */
  server_not_opened: {reason: string};
  address_given_up: AddressFields & {reason: string; waitMs: number};
  /** The process was asked to stop while its start waited for something. */
  start_abandoned: {uptimeMs: number};
  process_stopping: {
    instance: string;
    openRequests: number;
    /** Longest time for which the signal may have waited until the process noticed it. */
    signalDelayMs?: number;
  };
  /** Beside the name what became of the requests of callers since the process started. */
  process_stopped: {
    instance: string;
    connections?: number;
    requests?: number;
    unanswerable?: number;
    /** Requests whose connection the caller ended before the end of the response. */
    abandoned?: number;
    /** Requests whose connection the process ended before the end of the response. */
    unanswered?: number;
    /** The same by reason, as `reason:count`, by commas. */
    unansweredBy?: string;
  };
  /** The last line of a process, whatever ended it, except signals that it cannot handle. */
  process_ended: ProcessMemoryFields & {
    cause: string;
    reason?: string;
    exitCode: number;
    uptimeMs: number;
  };
  /** No code caught the error; `origin` is `uncaughtException` or `unhandledRejection`. */
  uncaught_error: {
    origin: string;
    /** `failStart`, `stop`, or `none` while the process stops. */
    effect: string;
    sinceStartMs: number;
    /** Stack of the error. */
    reason: string;
  };
  /** The stop failed or passed its time limit; open requests may have been broken off. */
  process_stop_failed: {reason: string};
  /** `stream` is `stdout` or `stderr`; nobody reads it any more. */
  output_failed: {stream: string; reason: string};
  process_heap_high: ProcessMemoryFields & MemoryLimitFields;
  process_heap_usual: ProcessMemoryFields & MemoryLimitFields;
  process_memory_high: ProcessMemoryFields & MemoryLimitFields;
  process_memory_usual: ProcessMemoryFields & MemoryLimitFields;
  /** `sinceStartMs` is the time since the process started. */
  signal_received: {signal: string; sinceStartMs: number; effect: string};
  /**
   * A connection of a caller ended after the process was told to stop, or the process ended it
   * while a request was open.
   */
  caller_connection_ended: {
    /** Address of the caller, as host:port. */
    caller: string;
    reason: string;
    /** `closed` or `reset` if the caller ended it. */
    peerEnd?: string;
    /** Time since the process was told to stop; absent before that. */
    sinceStopMs?: number;
    /** Requests that were read and whose responses were not sent whole. */
    openRequests: number;
    /** Number of these requests that had not arrived whole. */
    incompleteRequests: number;
    /** Ids of these requests. */
    requestIds?: string;
    /** Whether a response had begun and was not sent whole. */
    isResponseCut: boolean;
    /** Bytes of responses that the operating system had not taken. */
    unsentBytes: number;
    /** Bytes of a request that had not arrived whole. */
    partialRequestBytes: number;
    idleMs: number;
  };
  /** A stopping gateway accepts no more connections of callers. */
  caller_listener_closed: {
    sinceStopMs?: number;
    /** Time for which it went on accepting connections that waited. */
    acceptMs: number;
    /** Connections that it accepted meanwhile. */
    lastConnections: number;
    /** Whether none was left that waited, and was reset. */
    isComplete: boolean;
  };
  /** The request was read when its connection could take no response any more. */
  call_unanswerable: {requestId?: string; sinceStopMs?: number};
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
    roomAfterMs: number;
  };
  log_suppressed: {suppressedEvent: string; lines: number};
  log_dropped: {lines: number};
  /** A value could not be recorded in a metric, and was dropped. */
  metric_dropped: {metric: string; reason: string};
  /** Code that handled bytes from outside failed; only that request, connection or datagram did. */
  input_failed: {input: string; from?: string; reason: string};
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
  /** It is known at which service and software version the stream that a caller resumes goes on. */
  stream_continued: {
    requestId: string;
    /** Request that brought the first event of the stream; absent if the caller names none. */
    resumedRequest?: string;
    service: string;
    softwareVersion: string;
    /** How it is known: `memory`, `gateway` or `servedVersions`. */
    source: string;
    /** Time since its first event was recorded, or since the store was asked. */
    ageMs?: number;
  };
  attempt_started: {
    requestId: string;
    attempt: number;
    upstream: string;
    /** Software version of the upstream. */
    softwareVersion?: string;
    /** Requests a second that it takes from all gateways, if it is cold or was until just now. */
    coldLimitPerS?: number;
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
    /** What marks the end of the response: `length`, `chunks` or `close`; absent before its headers. */
    framing?: string;
    /** Bytes of the response's body that had arrived. */
    bodyBytes?: number;
    /** How the upstream's side of the connection stands: `open`, `closed` in order, or `reset`. */
    upstreamSide: string;
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
    /** What marks the end of the response for the caller: `length`, `chunks` or `close`. */
    framing?: string;
    /** Bytes of an upstream's body that were written for the caller. */
    bodyBytes?: number;
    attempts: number;
    firstEventMs?: number;
    /** Longest time between the arrivals of two events of the stream. */
    longestPauseMs?: number;
    /** Longest time from the arrival of data until the caller's connection took it. */
    longestWaitMs?: number;
    durationMs: number;
  };
  config_rejected: {reason: string};
  settings_reloaded: {path: string; changed: string};
  settings_rejected: {path: string; reason: string};
  /** The settings file cannot be used at the start; it is read again. */
  settings_waiting: {path: string; reason: string};
  settings_found: {path: string; waitMs: number};
  /** The upstream cut off a response that the gateway had stopped reading for its caller. */
  response_cut_off_unread: {
    requestId: string;
    upstream: string;
    unreadMs: number;
    reason: string;
  };
  /** The process began or ceased to take a step under memory pressure. */
  memory_step_changed: {
    step: string;
    heldBytes: number;
    limitBytes: number;
    /** Resident memory by which the limit was set; absent if it could not be read. */
    residentBytes?: number;
    requestBody: number;
    heldResponse: number;
    unreadResponse: number;
    readAhead: number;
  };
  /**
   * The process began or ceased to take a step that keeps its heap within the limit, or
   * closed connections unread since the last line.
   */
  heap_step_changed: {
    step: string;
    heldBytes: number;
    limitBytes: number;
    refusedConnections: number;
  };
  /** The response that the caller left unread the most was ended, as memory is short. */
  unread_response_ended: {
    requestId?: string;
    unreadBytes: number;
    heldBytes: number;
    limitBytes: number;
    /** Resident memory by which the limit was set; absent if it could not be read. */
    residentBytes?: number;
  };
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
  /** A gateway wrote the targets that routes had lately. */
  stream_targets_recorded: {routes: number};
  upstream_leaving: {upstream: string};
  upstream_quiet: {upstream: string; quietMs: number};
  /** `limitPerS` is absent if the upstream states no limit any more. */
  upstream_limit_changed: {upstream: string; limitPerS?: number};
  upstreams_divided: {
    service: string;
    /** Whether the gateways of all groups send to all upstreams of the service. */
    isShared: boolean;
    /** Index of the group of this gateway. */
    group: number;
    groups: number;
    gateways?: number;
    /** Number of upstreams that the group sends to. */
    upstreams: number;
    /** Number of upstreams that take new requests, over all groups. */
    usableUpstreams: number;
    gainedCount: number;
    /** Upstreams that come from another group, or the first ones. */
    gained: string;
    releasedCount: number;
    /** Upstreams that another group alone sends to now, or the first ones. */
    released: string;
    /** Requests for each slot that gained upstreams are assumed to have at first. */
    unheardPerSlot: number;
  };
  /** `storeVersion` is the version of the store from which the change follows. */
  zone_out_of_service: ZoneEvent;
  zone_in_service: ZoneEvent;
  /** A newer list does not have the zone, which stays out of service for a time. */
  zone_row_missing: ZoneEvent;
  zone_rejected: {row: string; reason: string; storeVersion: number};
  zone_unknown: {availabilityZone: string; reason: string};
  /** `limitPerS` is what it takes from all gateways; `coldMs` is from its record. */
  upstream_cold: {
    upstream: string;
    limitPerS: number;
    coldMs?: number;
    isInDoubt: boolean;
    availabilityZone: string;
  };
  upstream_warm: {upstream: string};
  /** The upstream may have restarted under its id; `reason` says what was lost. */
  upstream_in_doubt: {upstream: string; reason: string};
  upstream_doubt_ended: {upstream: string; listAgeMs: number};
  upstream_value_ignored: {upstream: string; reason: string};
  config_value_ignored: {version: number; reason: string};
  lease_acquired: {duty: string; fencingToken: number};
  lease_lost: {duty: string; fencingToken: number};
  /** The row of a lease holds something else; the lease is not claimed until it is corrected. */
  lease_unreadable: {duty: string; reason: string};
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
  /** `uptimeMs` is the time since the start of the peer's process before, by the peer's clock. */
  peer_restarted: {peer: string; uptimeMs: number};
  peer_lost: {peer: string};
  peer_entry_removed: {entry: string};
  peer_link_failed: {reason: string};
  peer_failed: {operation: string; reason: string};
  upstream_rejected: {upstream: string; reason: string};
  command_failed: {code: string; message: string; hint?: string};
}

/** Name of a log event. */
export type LogEventName = keyof LogEvents;
