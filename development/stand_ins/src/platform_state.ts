import {
  type VersionCheck,
  type Instance,
  type Row,
  type UpstreamCountOrder,
  type TransactionResult,
  type UsageReport,
  type RowWrite,
} from '@sardinestile/ports';

/** Data of the stand-in platform, kept in memory. */
export interface PlatformState {
  get(key: string): Row | undefined;
  scan(fromKey: string, toKey: string, limit: number): Row[];
  transact(
    writes: readonly RowWrite[],
    checks?: readonly VersionCheck[],
  ): TransactionResult;
  objects: Map<string, string>;
  instances: Map<string, Instance>;
  usageReports: UsageReport[];
  scalerOrders: UpstreamCountOrder[];
}

/** Creates an empty platform state. */
export function createPlatformState(): PlatformState {
  const rows = new Map<string, Row>();
  const hasExpectedVersion = (write: RowWrite) =>
    write.expectedVersion === null ||
    write.expectedVersion === (rows.get(write.key)?.version ?? 0);
  const applyWrite = ({key, value}: RowWrite) => {
    const version = (rows.get(key)?.version ?? 0) + 1;
    if (value === null) rows.delete(key);
    else rows.set(key, {key, value, version});
  };
  return {
    get: key => rows.get(key),
    scan: (fromKey, toKey, limit) =>
      [...rows.values()]
        .filter(row => row.key >= fromKey && row.key < toKey)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit),
    transact(writes, checks = []) {
      const isCurrent = (check: VersionCheck) =>
        check.expectedVersion === (rows.get(check.key)?.version ?? 0);
      const committed =
        writes.every(hasExpectedVersion) && checks.every(isCurrent);
      if (committed) writes.forEach(applyWrite);
      return {committed};
    },
    objects: new Map(),
    instances: new Map(),
    usageReports: [],
    scalerOrders: [],
  };
}
