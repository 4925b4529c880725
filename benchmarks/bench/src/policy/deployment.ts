import {readFileSync} from 'node:fs';
import {parseServiceText, type ServiceText} from '@sardinestile/service_text';
import {
  DEFAULT_ENGINE_MODEL,
  type EngineModelOptions,
} from '@sardinestile/stand_ins';
import type {LoadProfile} from './scenario.js';
import type {ClassLoad} from './workload.js';

/** A simulated deployment and its steady load. */
export interface Deployment {
  name: string;
  serviceText: ServiceText;
  /** Name of the service whose engines are simulated. */
  service: string;
  upstreamCount: number;
  /** Requests that each upstream runs concurrently. */
  capacity: number;
  /** Steady load by class, from the top tier down. */
  classLoads: ClassLoad[];
  engine: EngineModelOptions;
  loadProfile: LoadProfile;
}

interface DeploymentSpec {
  name: string;
  service: string;
  upstreamCount: number;
  classLoads: ClassLoad[];
  floodingOrganisation: string;
}

const SPECS: readonly DeploymentSpec[] = [
  {
    name: 'drws_cymru',
    service: 'summaries',
    upstreamCount: 6,
    floodingOrganisation: 'gwesty-llandudno',
    classLoads: [
      {
        requestClass: 'quick-question',
        requestsPerS: 8,
        promptTokensMean: 250,
        outputTokensMean: 90,
      },
      {
        requestClass: 'visit-summary',
        requestsPerS: 1.6,
        promptTokensMean: 7_000,
        outputTokensMean: 500,
      },
      {
        requestClass: 'bundle-review',
        requestsPerS: 0.4,
        promptTokensMean: 9_000,
        outputTokensMean: 700,
      },
    ],
  },
  {
    name: 'paletta_viva',
    service: 'assessment',
    upstreamCount: 8,
    floodingOrganisation: 'bancali-cremona',
    classLoads: [
      {
        requestClass: 'short-query',
        requestsPerS: 20,
        promptTokensMean: 200,
        outputTokensMean: 80,
      },
      {
        requestClass: 'dossier',
        requestsPerS: 1.6,
        promptTokensMean: 6_000,
        outputTokensMean: 500,
      },
      {
        requestClass: 'statistics',
        requestsPerS: 0.5,
        promptTokensMean: 3_000,
        outputTokensMean: 800,
      },
    ],
  },
];

/**
 * Returns the simulated deployments, each with the service text of the same name
 * in `examples/`.
 */
export function loadDeployments(): Deployment[] {
  return SPECS.map(spec => {
    const url = new URL(
      `../../../../examples/${spec.name}.yaml`,
      import.meta.url,
    );
    const serviceText = parseServiceText(readFileSync(url, 'utf8')).unwrap();
    const service = serviceText.services.find(
      ({name}) => name === spec.service,
    )!;
    const utilisationByClass = new Map(
      spec.classLoads.map((load): [string, number] => [
        load.requestClass,
        (load.requestsPerS * estimateEngineTimeMs(load, service.maxRunning)) /
          (spec.upstreamCount * 1000),
      ]),
    );
    const utilisation = [...utilisationByClass.values()].reduce(
      (a, b) => a + b,
    );
    return {
      ...spec,
      serviceText,
      capacity: service.maxRunning,
      engine: DEFAULT_ENGINE_MODEL,
      loadProfile: {
        utilisation,
        utilisationByClass,
        floodingOrganisation: spec.floodingOrganisation,
        topClass: spec.classLoads[0].requestClass,
        middleClass: spec.classLoads[1].requestClass,
      },
    };
  });
}

/**
 * Returns the engine time that one request takes in a full batch, in
 * milliseconds.
 */
export function estimateEngineTimeMs(
  sizes: Pick<ClassLoad, 'promptTokensMean' | 'outputTokensMean'>,
  capacity: number,
  engine: EngineModelOptions = DEFAULT_ENGINE_MODEL,
): number {
  const perTokenMs = engine.stepBaseMs / capacity + engine.stepPerSequenceMs;
  return (
    sizes.outputTokensMean * perTokenMs +
    sizes.promptTokensMean * engine.prefillMsPerToken
  );
}
