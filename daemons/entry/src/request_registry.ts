import type {RequestTask} from './request_task.js';

/** A request that is being served. */
export interface OpenRequest {
  requestId: string;
  organisation: string;
  keyId: string;
  requestClass: string;
  startedAtMs: number;
  task?: RequestTask;
}

/** Registry of the requests that an entry is serving. */
export interface RequestRegistry {
  add(request: OpenRequest): void;
  remove(requestId: string): void;
  readonly size: number;
  /**
   * Ends the requests whose key is not valid; requests without a key continue.
   */
  endRequestsWithInvalidKeys(isValid: (keyId: string) => boolean): void;
  /** Resolves once no request is open. */
  whenEmpty(): Promise<void>;
  /** Returns the open requests for a state dump. */
  dump(): object[];
}

/** Creates an empty registry. */
export function createRequestRegistry(): RequestRegistry {
  const requests = new Map<string, OpenRequest>();
  let emptyResolvers: Array<() => void> = [];

  const resolveIfEmpty = () => {
    if (requests.size > 0) return;
    emptyResolvers.forEach(resolve => resolve());
    emptyResolvers = [];
  };
  return {
    add: request => requests.set(request.requestId, request),
    remove(requestId) {
      requests.delete(requestId);
      resolveIfEmpty();
    },
    get size() {
      return requests.size;
    },
    endRequestsWithInvalidKeys(isValid) {
      for (const request of [...requests.values()]) {
        if (!request.keyId || isValid(request.keyId)) continue;
        request.task?.handleKeyRevocation();
      }
    },
    whenEmpty: () =>
      new Promise(resolve => {
        emptyResolvers.push(resolve);
        resolveIfEmpty();
      }),
    dump: () =>
      [...requests.values()].map(({task, ...request}) => ({
        ...request,
        ageMs: Math.round(performance.now() - request.startedAtMs),
        ...task?.dump(),
      })),
  };
}
