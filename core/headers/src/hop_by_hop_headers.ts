/**
 * Lower-case names of headers that apply to one connection and must not be
 * forwarded.
 */
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

/**
 * Returns the lower-case names of the hop-by-hop headers that a `Connection`
 * header lists.
 */
export function namesInConnectionHeader(
  value: string | undefined,
): ReadonlySet<string> {
  const names = (value ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names.filter(Boolean));
}
