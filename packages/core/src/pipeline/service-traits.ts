import type { Workspace } from '../ports/index.js';

/** What the operators state of a plain service. */
export interface ServiceTraits {
  /** Removes duplicates by `Idempotency-Key` across all its endpoints. */
  readonly deduplicatesByKey: boolean;
  /** Tells under an `Idempotency-Key` whether the call ran. */
  readonly answersOutcomes: boolean;
}

const DEFAULT_TRAITS: ServiceTraits = {
  deduplicatesByKey: false,
  answersOutcomes: false,
};

export type ServiceTraitsByGroup = ReadonlyMap<string, ServiceTraits>;

export function traitsOf(
  traits: ServiceTraitsByGroup | undefined,
  service: string,
): ServiceTraits {
  return traits?.get(service) ?? DEFAULT_TRAITS;
}

/**
 * The key that a service is given. A service that acts on keys gets the
 * workspace with it, since two workspaces may choose the same key.
 */
export function serviceKey(
  traits: ServiceTraits,
  workspace: Workspace,
  idempotencyKey: string,
): string {
  const actsOnKeys = traits.deduplicatesByKey || traits.answersOutcomes;
  return actsOnKeys ? `${workspace}/${idempotencyKey}` : idempotencyKey;
}
