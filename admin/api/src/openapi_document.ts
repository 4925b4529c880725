/** OpenAPI description of one operation. */
interface Operation {
  summary: string;
  responses: Record<string, {description: string}>;
}

const COMMON_RESPONSES = {
  '401': {description: 'The administration key is missing or wrong.'},
  '503': {description: 'The platform cannot be reached.'},
};

function describeOperation(summary: string, responses: Record<string, string>) {
  const responseEntries = Object.entries(responses).map(
    ([status, description]): [string, {description: string}] => [
      status,
      {description},
    ],
  );
  const allResponses = {
    ...Object.fromEntries(responseEntries),
    ...COMMON_RESPONSES,
  };
  return {summary, responses: allResponses} satisfies Operation;
}

/** OpenAPI document of the administration API. */
export const OPENAPI_DOCUMENT = {
  openapi: '3.1.0',
  info: {title: 'sardinestile administration API', version: '1'},
  components: {securitySchemes: {key: {type: 'http', scheme: 'bearer'}}},
  security: [{key: []}],
  paths: {
    '/admin/v1/openapi.json': {
      get: describeOperation('This document.', {'200': 'The document.'}),
    },
    '/admin/v1/text': {
      get: describeOperation(
        "The operators' text in force; its ETag is the version.",
        {
          '200': 'The text.',
        },
      ),
      put: describeOperation('Replaces the text under If-Match.', {
        '200': 'The new version.',
        '400': 'If-Match is missing.',
        '412': 'Another version won; the message names it.',
        '422': 'The text has findings; nothing changed.',
      }),
    },
    '/admin/v1/history': {
      get: describeOperation('The accepted changes after `since`.', {
        '200': 'The changes, oldest first.',
      }),
    },
    '/admin/v1/keys': {
      get: describeOperation('The keys, without their secrets.', {
        '200': 'The keys.',
      }),
      post: describeOperation('Grants a key to an organisation.', {
        '201': 'The key with its secret, shown this once.',
        '400': 'The body is not valid.',
        '404': 'No such organisation.',
      }),
    },
    '/admin/v1/keys/{keyId}': {
      delete: describeOperation('Withdraws a key.', {
        '200': 'The key is withdrawn.',
        '404': 'No such key.',
      }),
    },
    '/admin/v1/drains/{upstream}': {
      put: describeOperation('Begins or ends the drain of an upstream.', {
        '200': 'The drain is set.',
        '400': 'The body is not valid.',
      }),
    },
    '/admin/v1/usage': {
      get: describeOperation('The usage of the windows.', {
        '200': 'The usage.',
      }),
    },
  },
} as const;
