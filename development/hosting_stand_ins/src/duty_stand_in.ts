import {
  readJson,
  sendJson,
  startListener,
  type StandInListener,
} from './http_stand_in.js';

/** A call of a duty that was accepted. */
export interface AcceptedDutyCall {
  path: string;
  holder: string;
  fencingToken: number;
  body: Record<string, unknown>;
}

/** The platform's interface for duties. */
export interface DutyStandIn {
  readonly listener: StandInListener;
  readonly accepted: AcceptedDutyCall[];
  /** Calls that were refused for their fencing token. */
  readonly fenced: AcceptedDutyCall[];
}

/** Starts the interface; it refuses tokens lower than the highest it has seen. */
export async function startDutyStandIn(): Promise<DutyStandIn> {
  const accepted: AcceptedDutyCall[] = [];
  const fenced: AcceptedDutyCall[] = [];
  const highest = new Map<string, number>();
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
      const isLow = call.fencingToken < (highest.get(subject) ?? 0);
      if (!isLow) highest.set(subject, call.fencingToken);
      (isLow ? fenced : accepted).push(call);
      sendJson(response, isLow ? 409 : 200, {});
    });
  });
  return {listener, accepted, fenced};
}
