/** Names, in lower case, of headers that concern one connection rather than the request. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Further names, in lower case, that the value of a `Connection` header adds. */
export function namesInConnectionHeader(
  value: string | undefined,
): ReadonlySet<string> {
  const names = (value ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names.filter(Boolean));
}
