/** Gateways that are reckoned with before the others were heard. */
const MIN_GATEWAYS = 4;

/** How many gateways share what is limited for all of them. */
export interface GatewayCount {
  /** Takes the number of peers that are alive now. */
  observe(livePeers: number): void;
  /** Most gateways that were alive at once; it never shrinks, since a partition hides peers that go on. */
  readonly value: number;
}

/** Makes a count before any peer was heard. */
export function createGatewayCount(): GatewayCount {
  let value = MIN_GATEWAYS;
  return {
    observe(livePeers) {
      value = Math.max(value, livePeers + 1);
    },
    get value() {
      return value;
    },
  };
}
