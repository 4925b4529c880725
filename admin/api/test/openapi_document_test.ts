import {describe, it} from 'node:test';
import {createConfigReplica} from '@sardinestile/replica';
import {expect} from 'earl';
import {H3} from 'h3';
import {addAdminApi, OPENAPI_DOCUMENT} from '../src/index.js';

function createApp(): H3 {
  const app = new H3();
  addAdminApi(app, {
    adminKey: 'k',
    replica: createConfigReplica(),
    store: {
      refresh: async () => {},
      append: async () => 1,
      history: async () => [],
    },
    readUsage: async () => [],
  });
  return app;
}

describe('OPENAPI_DOCUMENT', () => {
  it('describes exactly the routes that are registered', () => {
    const registered = createApp()['~routes'].map(
      ({method, route}) => `${method} ${route}`,
    );
    const described = Object.entries(OPENAPI_DOCUMENT.paths).flatMap(
      ([path, operations]) =>
        Object.keys(operations).map(
          method =>
            `${method.toUpperCase()} ${path.replace(/\{(\w+)\}/g, ':$1')}`,
        ),
    );
    expect(registered.sort()).toEqual(described.sort());
  });

  it('requires the administration key for the text but not for the document', async () => {
    const app = createApp();
    const text = await app.request('/admin/v1/text');
    expect(text.status).toEqual(401);
    const document = await app.request('/admin/v1/openapi.json');
    expect(document.status).toEqual(200);
  });
});
