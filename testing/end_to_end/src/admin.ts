import {request, type Dispatcher} from 'undici';
import {ADMIN_KEY} from './test_cluster.js';

/** Response of the administration API. */
export interface AdminResponse {
  status: number;
  etag: string;
  text: string;
}

/** Sends a request to the administration API of an entry. */
export async function callAdmin(
  opsAddress: string,
  method: Dispatcher.HttpMethod,
  path: string,
  body?: string,
  ifMatch?: string,
): Promise<AdminResponse> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${ADMIN_KEY}`,
    'content-type': 'application/json',
  };
  if (ifMatch) headers['if-match'] = ifMatch;
  const response = await request(`http://${opsAddress}${path}`, {
    method,
    body,
    headers,
  });
  const etag = String(response.headers.etag ?? '');
  const text = await response.body.text();
  return {status: response.statusCode, etag, text};
}
