/** Number of gateways that is assumed until the others are known. */
const MIN_GATEWAYS = 4;

/** Numbers of gateways among which fleet-wide limits are divided. */
export interface GatewayCount {
  /** Updates the counts with the numbers of gateways that are registered now. */
  observe(inFleet: number, inGroup: number): void;
  /**
   * Most gateways that were ever registered at once. It never decreases, since
   * an entry may expire while its gateway still runs.
   */
  readonly inFleet: number;
  /** The same for the group of this gateway. */
  readonly inGroup: number;
}

/** Creates the counts with the assumed minimum. */
export function createGatewayCount(): GatewayCount {
  let maxInFleet = MIN_GATEWAYS;
  let maxInGroup = MIN_GATEWAYS;
  return {
    observe(inFleet, inGroup) {
      maxInFleet = Math.max(maxInFleet, inFleet);
      maxInGroup = Math.max(maxInGroup, inGroup);
    },
    get inFleet() {
      return maxInFleet;
    },
    get inGroup() {
      return maxInGroup;
    },
  };
}
