import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Number of daemons per move that compete for its lease and receive its evidence. */
const COORDINATOR_COUNT = 2;

/**
 * Returns the daemons that coordinate a move, preferred one first, selected by
 * rendezvous hashing (Thaler and Ravishankar, 1998). The selection is only a
 * hint: the lease decides.
 */
export function selectCoordinators(
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
