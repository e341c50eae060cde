import type { EndpointRecord } from '../../forwarding/index.js';
import { EndpointState } from '../../forwarding/index.js';

/** Returns a reclaimable endpoint of the group `engines`. */
export function reclaimableEndpointIn(
  dataCentre: string,
  state = EndpointState.Ready,
): EndpointRecord {
  return {
    id: dataCentre,
    address: '10.0.0.1:80',
    group: 'engines',
    dataCentre,
    version: 'v1',
    slots: 48,
    state,
    coldRemainingMs: 0,
    isReclaimable: true,
    leavesInMs: undefined,
    bornAtMs: undefined,
  };
}
