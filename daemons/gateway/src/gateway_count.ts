/** Gateways that are reckoned with before the others are known. */
const MIN_GATEWAYS = 4;

/** How many gateways share what is limited for all of them. */
export interface GatewayCount {
  /** Takes the numbers of gateways that are registered now. */
  observe(inFleet: number, inGroup: number): void;
  /** Most gateways that were registered at once; it never shrinks, since an entry may lapse before its gateway ends. */
  readonly inFleet: number;
  /** The same of this gateway's group. */
  readonly inGroup: number;
}

/** Makes a count before any other gateway is known. */
export function createGatewayCount(): GatewayCount {
  let fleet = MIN_GATEWAYS;
  let group = MIN_GATEWAYS;
  return {
    observe(inFleet, inGroup) {
      fleet = Math.max(fleet, inFleet);
      group = Math.max(group, inGroup);
    },
    get inFleet() {
      return fleet;
    },
    get inGroup() {
      return group;
    },
  };
}
