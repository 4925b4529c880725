/**
 * Time without a disturbance after which a gateway counts as in contact, and after
 * which it acts on what the fleet learned, in milliseconds.
 */
export const CONTACT_MS = 3_000;

/** Time in which a fault affected a gateway. Times are by performance.now(). */
export interface Disturbance {
  /** Name of the gateway; absent if the fault affected all. */
  gateway?: string;
  fromMs: number;
  untilMs: number;
  /** Whether it is planned work, which excuses no lost request. */
  isPlanned?: boolean;
}

/** Whether a gateway was out of contact at some time of the given range. */
export function wasDisturbed(
  disturbances: readonly Disturbance[],
  gateway: string | undefined,
  fromMs: number,
  untilMs = fromMs,
): boolean {
  return disturbances.some(
    disturbance =>
      (disturbance.gateway ?? gateway) === gateway &&
      disturbance.fromMs <= untilMs &&
      disturbance.untilMs > fromMs - CONTACT_MS,
  );
}
