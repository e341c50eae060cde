import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Daemons that may hold a move's lease and get its evidence. */
const COORDINATOR_COUNT = 2;

/**
 * The daemons that coordinate a move, first choice first, by rendezvous hashing
 * (Thaler and Ravishankar, 1998). A hint only: the lease decides.
 */
export function coordinatorsOf(
  moveId: string,
  daemonIds: readonly string[],
): readonly string[] {
  return [...daemonIds]
    .sort(
      (left, right) =>
        hasher.h32(`${moveId}/${right}`) - hasher.h32(`${moveId}/${left}`),
    )
    .slice(0, COORDINATOR_COUNT);
}
