import {
  createRecentValuesCodec,
  createTargetHistory,
  listRecentValues,
  type RecentValues,
} from '@sardinestile/continuation';
import {
  chooseTarget,
  decodeTargets,
  encodeTargets,
  listReachableServices,
  type Route,
  type RouteTable,
} from '@sardinestile/route_table';
import {
  createRecentValueRow,
  type RecentValueContext,
} from './recent_value_row.js';
import {createSharedRead} from './shared_read.js';

/** Row with the targets that routes had lately, which outlasts the loss of all gateways. */
const TARGETS_KEY = 'streams/targets';

const codec = createRecentValuesCodec('routes');

/** Options for `createServedTargetStore`. */
export interface ServedTargetStoreOptions extends RecentValueContext {
  /** Reads the configuration from the store; undefined if it cannot be used. Rejects if the store cannot be read. */
  readRouteTable: () => Promise<RouteTable | undefined>;
}

/** Targets that routes had lately, for streams that no gateway remembers. */
export interface ServedTargetStore {
  /** Takes over a version of the configuration. */
  applyTable(table: RouteTable): void;
  /** Writes the targets that the store lacks; called at short intervals. */
  update(): void;
  /**
   * Returns the service that began the stream of a request on a route: the one that all targets
   * which the route may have had choose for it. Undefined if they choose several, or if the
   * route is split and it is not certain which targets there were.
   */
  serviceOf(
    route: Route,
    requestId: string | undefined,
  ): Promise<string | undefined>;
}

/** What the store has for resumes that arrived before it was read. */
interface StoreReading {
  /** The row of the targets; absent if it is missing or invalid. */
  recent: RecentValues | undefined;
  /** The configuration; absent if it cannot be used. */
  table: RouteTable | undefined;
}

/** Creates the store of the targets, and writes nothing until `update`. */
export function createServedTargetStore(
  options: ServedTargetStoreOptions,
): ServedTargetStore {
  const {clock, logger} = options;
  const history = createTargetHistory();
  let hasResumableRoutes = false;

  const seen = () => history.recent(clock.monotonicMs());
  const row = createRecentValueRow(options, {
    key: TARGETS_KEY,
    content: 'the targets of routes',
    codec,
    seen: () => (hasResumableRoutes ? seen() : undefined),
    onWritten: ({values}) =>
      logger.info('stream_targets_recorded', {routes: values.size}),
  });
  const reportFailure = (operation: string, error: unknown) =>
    logger.warn('store_failed', {operation, reason: (error as Error).message});
  const read = async (): Promise<StoreReading | undefined> => {
    try {
      const [recent, table] = await Promise.all([
        row.read(),
        options.readRouteTable(),
      ]);
      return {recent, table};
    } catch (error) {
      reportFailure('read the targets of routes', error);
      return undefined;
    }
  };
  const readShared = createSharedRead(read, clock);
  /** Returns all targets that a route had lately; undefined if that is not certain. */
  const listTargets = (route: Route, {recent, table}: StoreReading) => {
    const texts = listRecentValues(recent, route.name, row.observe(seen()));
    if (!texts || !table) return undefined;
    try {
      return [
        ...table.routes.filter(({name}) => name === route.name),
        ...[...texts].map(text => ({targets: decodeTargets(text)})),
      ];
    } catch (error) {
      reportFailure(`decode the row ${TARGETS_KEY}`, error);
      return undefined;
    }
  };
  return {
    applyTable({routes}) {
      const resumable = routes.filter(({isResumable}) => isResumable);
      hasResumableRoutes ||= resumable.length > 0;
      history.observe(
        resumable.map(route => ({
          route: route.name,
          targets: encodeTargets(route),
          isSplit: listReachableServices(route).length > 1,
        })),
        clock.monotonicMs(),
      );
    },
    update: () => row.update(),
    async serviceOf(route, requestId) {
      const reading = await readShared();
      if (!reading) return undefined;
      const others = listTargets(route, reading);
      const isSplit = listReachableServices(route).length > 1;
      if (isSplit && !others) return undefined;
      const services = new Set(
        [route, ...(others ?? [])].flatMap(variant =>
          requestId === undefined
            ? listReachableServices(variant)
            : chooseTarget(variant, requestId),
        ),
      );
      return services.size === 1 ? [...services][0] : undefined;
    },
  };
}
