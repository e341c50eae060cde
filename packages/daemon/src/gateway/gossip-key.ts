/** Keys of the values that daemons gossip to one another. */
export enum GossipKey {
  Configuration = 'configuration',
  Endpoints = 'endpoints',
  Rollouts = 'rollouts',
  Evacuations = 'evacuations',
}

/** Keys in every digest. The evacuations and the orders come before the configuration, by which a starting daemon begins to serve. */
export const GOSSIP_KEYS_OF_EVERY_DIGEST: readonly GossipKey[] = [
  GossipKey.Evacuations,
  GossipKey.Rollouts,
  GossipKey.Configuration,
  GossipKey.Endpoints,
];
