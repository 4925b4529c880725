import {describe, it} from 'node:test';
import {checkServiceText} from '@sardinestile/checks';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  classifyEngineCall,
  classifyPlainCall,
} from '../src/classify_request.js';

const NAMES = ['a', 'b', 'c'];
const METHODS = ['GET', 'POST'] as const;
const PATHS = ['/', '/a', '/a/b', '/a/', '/b?c', '/a b', '/c'];

const classSchema = fc.record({
  service: fc.constantFrom(...NAMES),
  tier: fc.nat(2),
  isDefault: fc.boolean(),
  minShare: fc.constantFrom(0, 0.1, 0.3),
  targets: fc.constant({}),
});

/** Draws texts of three services; some have errors, such as duplicate routes. */
const textArbitrary = fc.record({
  availabilityZones: fc.constant([{name: 'zone', region: 'region'}]),
  services: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()).map(haveModels =>
    haveModels.map((hasModel, index) => ({
      name: NAMES[index],
      kind: hasModel ? 'engine' : 'plain',
      maxRunning: 4,
      models: hasModel ? [`model-${NAMES[index]}`] : [],
    })),
  ),
  requestClasses: fc
    .array(classSchema, {minLength: 1, maxLength: 5})
    .map(classes => classes.map((c, i) => ({...c, name: `class-${i}`}))),
  organisations: fc.constant([{name: 'org'}]),
  routes: fc.array(
    fc.record({
      path: fc.constantFrom(...PATHS),
      methods: fc.uniqueArray(fc.constantFrom(...METHODS), {minLength: 1}),
      requestClass: fc.nat(4).map(i => `class-${i}`),
      idempotent: fc.boolean(),
    }),
    {maxLength: 4},
  ),
});

const requestArbitrary = fc.record({
  method: fc.constantFrom<string>(...METHODS),
  path: fc
    .array(fc.constantFrom('a', 'b', 'c', '', '%20', 'a%20b'), {maxLength: 4})
    .map(parts => `/${parts.join('/')}`),
  model: fc.constantFrom(...NAMES).map(name => `model-${name}`),
  className: fc.option(fc.nat(4).map(i => `class-${i}`)),
});

describe('entries that are reported as never matching', () => {
  // Guards against a warning about an entry that serves requests: an operator
  // who trusts it would remove the entry.
  it('are matched by none of a thousand drawn requests', () => {
    let flaggedCount = 0;
    fc.assert(
      fc.property(
        textArbitrary,
        fc.array(requestArbitrary, {minLength: 1_000, maxLength: 1_000}),
        (drawn, requests) => {
          const {serviceText, findings} = checkServiceText(
            JSON.stringify(drawn),
          );
          if (!serviceText) return;
          const flagged = (rule: string) =>
            new Set(
              findings
                .filter(finding => finding.rule === rule)
                .map(({path}) => Number(path.split('.')[1])),
            );
          const routes = flagged('route-never-matches');
          const classes = flagged('class-never-matches');
          const services = flagged('service-never-matches');
          const defaults = flagged('default-never-applies');
          flaggedCount +=
            routes.size + classes.size + services.size + defaults.size;
          const expectUnflagged = (name: string) => {
            const index = serviceText.requestClasses.findIndex(
              c => c.name === name,
            );
            const {service} = serviceText.requestClasses[index];
            const serviceIndex = serviceText.services.findIndex(
              s => s.name === service,
            );
            expect(classes.has(index)).toEqual(false);
            expect(services.has(serviceIndex)).toEqual(false);
            return index;
          };
          // A text with only the flagged routes must match nothing.
          const onlyFlaggedRoutes = {
            ...serviceText,
            routes: serviceText.routes.filter((_, i) => routes.has(i)),
          };
          for (const {method, path, model, className} of requests) {
            const plain = classifyPlainCall(serviceText, method, path);
            if (plain.isOk()) expectUnflagged(plain.value.requestClass.name);
            expect(
              classifyPlainCall(onlyFlaggedRoutes, method, path).isErr(),
            ).toEqual(true);
            const body = Buffer.from(JSON.stringify({model, prompt: 'p'}));
            const engine = classifyEngineCall(
              serviceText,
              'completion',
              body,
              className,
            );
            if (engine.isErr()) continue;
            const index = expectUnflagged(engine.value.requestClass.name);
            if (className === null) {
              expect(defaults.has(index)).toEqual(false);
            }
          }
        },
      ),
      {numRuns: 60},
    );
    // Without flagged entries the property would hold for no reason.
    expect(flaggedCount > 0).toEqual(true);
  });
});
