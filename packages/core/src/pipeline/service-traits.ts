import type { Workspace } from '../ports/index.js';

/** Capabilities that the operators declare for a plain service. */
export interface ServiceTraits {
  /** Whether the service deduplicates calls by `Idempotency-Key` across all its endpoints. */
  readonly deduplicatesByKey: boolean;
  /** Whether the service reports, for an `Idempotency-Key`, if the call ran. */
  readonly answersOutcomes: boolean;
}

const DEFAULT_TRAITS: ServiceTraits = {
  deduplicatesByKey: false,
  answersOutcomes: false,
};

export type ServiceTraitsByGroup = ReadonlyMap<string, ServiceTraits>;

/** Returns the declared traits of a service; all false if none are declared. */
export function traitsOf(
  traits: ServiceTraitsByGroup | undefined,
  service: string,
): ServiceTraits {
  return traits?.get(service) ?? DEFAULT_TRAITS;
}

/**
 * Returns the key to send to a service. Services that act on keys get it prefixed
 * with the workspace, since two workspaces may choose the same key.
 */
export function serviceKey(
  traits: ServiceTraits,
  workspace: Workspace,
  idempotencyKey: string,
): string {
  const actsOnKeys = traits.deduplicatesByKey || traits.answersOutcomes;
  return actsOnKeys ? `${workspace}/${idempotencyKey}` : idempotencyKey;
}
