/** Reads a request's body; undefined if it is longer than the limit. */
export async function readLimitedBody(
  request: Request,
  maxBytes: number,
): Promise<Uint8Array | undefined> {
  const declaredBytes = Number(request.headers.get('content-length') ?? 0);
  if (declaredBytes > maxBytes) return undefined;
  if (!request.body) return new Uint8Array(0);
  const parts: Uint8Array[] = [];
  let receivedBytes = 0;
  for await (const part of request.body as AsyncIterable<Uint8Array>) {
    receivedBytes += part.length;
    if (receivedBytes > maxBytes) return undefined;
    parts.push(part);
  }
  return Buffer.concat(parts);
}
