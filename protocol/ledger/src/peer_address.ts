/** UDP host and port of a gateway. */
export interface PeerAddress {
  host: string;
  port: number;
}

/** Returns an address in the form `host:port`. */
export function toAddressKey({host, port}: PeerAddress): string {
  return `${host}:${port}`;
}
