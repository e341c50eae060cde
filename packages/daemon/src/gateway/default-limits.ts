import type { CallerLimits } from '@skylarkreach/core/forwarding';

/** Limits that apply until the first configuration arrives. */
export const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
