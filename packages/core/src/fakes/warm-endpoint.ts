import type { EndpointRecord } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';

/** Returns a ready endpoint that started long ago. */
export function warmEndpoint(
  id: string,
  overrides: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id,
    address: '10.0.0.1:80',
    group: 'ledger',
    dataCentre: 'north-1',
    version: 'v1',
    slots: 4,
    state: EndpointState.Ready,
    coldRemainingMs: 0,
    isReclaimable: false,
    leavesInMs: undefined,
    bornAtMs: 1,
    ...overrides,
  };
}
