import {
  readJson,
  sendJson,
  startListener,
  type StandInListener,
} from './http_stand_in.js';

/** A call to the platform's duty API. */
export interface DutyCall {
  path: string;
  holder: string;
  fencingToken: number;
  body: Record<string, unknown>;
}

/**
 * Stand-in for the platform's duty API. A duty is a task that one process at a
 * time performs; its calls carry the fencing token of that process.
 */
export interface DutyStandIn {
  readonly listener: StandInListener;
  readonly accepted: DutyCall[];
  /** Calls that were rejected because of a stale fencing token. */
  readonly rejected: DutyCall[];
}

/**
 * Starts the stand-in. It rejects a call whose fencing token is lower than the
 * highest token seen for the same path, service and zone.
 */
export async function startDutyStandIn(): Promise<DutyStandIn> {
  const accepted: DutyCall[] = [];
  const rejected: DutyCall[] = [];
  const highestTokens = new Map<string, number>();
  const listener = await startListener((request, response) => {
    void readJson(request).then(json => {
      const body = json as Record<string, unknown>;
      const path = request.url ?? '/';
      const subject = `${path} ${String(body.service)} ${String(body.zone)}`;
      const call = {
        path,
        holder: String(request.headers['duty-holder']),
        fencingToken: Number(request.headers['fence-token']),
        body,
      };
      const isStale = call.fencingToken < (highestTokens.get(subject) ?? 0);
      if (!isStale) highestTokens.set(subject, call.fencingToken);
      (isStale ? rejected : accepted).push(call);
      sendJson(response, isStale ? 409 : 200, {});
    });
  });
  return {listener, accepted, rejected};
}
