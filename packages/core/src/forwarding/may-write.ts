import type { PoolReservation } from './pool-reservation.js';
import type { RunContext } from './run-context.js';

/**
 * Whether a request may be written to the endpoint or peer of its reservation; to be asked
 * right before it is. One whose tokens are used up by then does not count
 * against the limits of the endpoint.
 */
export function mayWrite(
  { tokenGuard }: Pick<RunContext, 'tokenGuard'>,
  reservation: Pick<PoolReservation, 'mayWrite'>,
): boolean {
  const isAdmitted = tokenGuard.mayWrite();
  const isOpen = reservation.mayWrite?.(!isAdmitted) ?? isAdmitted;
  if (isOpen) tokenGuard.recordWrite();
  return isOpen;
}
