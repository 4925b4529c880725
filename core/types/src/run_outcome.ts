/**
 * Whether a failed request ran at an upstream.
 *
 * - `not_run`: no upstream received it, and none will.
 * - `unknown_outcome`: an upstream may have run it.
 * - `partial`: part of the response was delivered.
 */
export type RunOutcome = 'not_run' | 'unknown_outcome' | 'partial';
