import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** A link to an address that delays bytes and closes in both directions. */
export interface DelayedLink {
  /** Address of the form host:port to connect to. */
  readonly address: string;
  close(): void;
}

/** Starts a link to an address of the form host:port with a delay in each direction. */
export async function startDelayedLink(
  address: string,
  delayMs: number,
): Promise<DelayedLink> {
  const [host, port] = address.split(':');
  const forward = (from: Socket, to: Socket) => {
    const later = (action: () => void) => void setTimeout(action, delayMs);
    from.on('data', (bytes: Buffer) => later(() => to.write(bytes)));
    from.on('end', () => later(() => to.end()));
    from.on('error', () => later(() => to.destroy()));
  };
  const server = createServer({allowHalfOpen: true, noDelay: true}, caller => {
    const target = connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    forward(caller, target);
    forward(target, caller);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => void server.close(),
  };
}
