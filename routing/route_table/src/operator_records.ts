import {listOf} from '@sardinestile/types';
import {z} from 'zod';
import type {RouteTable} from './route_table_schema.js';

/** Schema of ZoneState. */
export const zoneStateSchema = z.object({
  availabilityZone: z.string(),
  /** Whether its upstreams get no new requests. */
  isOutOfService: z.boolean(),
  /** Version of the store at which this was read. */
  storeVersion: z.number().int(),
});

/** Whether the upstreams of an availability zone get requests. */
export type ZoneState = z.infer<typeof zoneStateSchema>;

/** Schema of ZoneList. */
export const zoneListSchema = z.object({
  /** Version of the store up to which the list is complete. */
  storeVersion: z.number().int(),
  /** States of all zones that operators took out of service; others are in service. */
  states: listOf(zoneStateSchema).readonly(),
  /** Zones whose rows are invalid; nothing is known of them. */
  unreadableZones: listOf(z.string()).readonly().default([]),
});

/** States of all availability zones at a version of the store. */
export type ZoneList = z.infer<typeof zoneListSchema>;

/** Record that operators write to the store. */
export type OperatorRecord =
  | {kind: 'routeTable'; table: RouteTable}
  /** State of one zone that has changed. */
  | {kind: 'zone'; state: ZoneState}
  /** States of all zones. */
  | {kind: 'zoneList'; list: ZoneList}
  /** State of a zone that cannot be read. */
  | {kind: 'invalidZone'; row: string; reason: string; storeVersion: number};

/** Record about availability zones. */
export type ZoneRecord = Exclude<OperatorRecord, {kind: 'routeTable'}>;
