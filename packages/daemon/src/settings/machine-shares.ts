import type { MachineSettings } from './machine-settings.js';

const BYTES_PER_MB = 1_000_000;
/**
 * Part of the machine's memory for the requests, and for the responses, in progress. The
 * process takes about 130 of 210 MB without them, and buffers that are no longer used stay
 * until the collector runs.
 */
const MEMORY_PART = 1 / 16; // three of the largest bodies on the smallest machine
/** Two of the largest bodies, so that one is read while another one is in progress. */
const MIN_BYTES = 8_388_608;
/** Descriptors for the program's files, the store, the probes and the metrics. */
const OWN_DESCRIPTORS = 64; // the program has 33 open when it is idle
/** Parts of the remaining descriptors; a request in progress has one connection of each of the first two kinds. */
const CALLER_PART = 0.4;
const PEER_PART = 0.15;
const OPERATOR_PART = 0.02;

/** What each use of a machine may take of it. */
export interface MachineShares {
  /** Memory of the requests of callers and operators. */
  readonly requestBytes: number;
  /** Memory of the messages of peers. */
  readonly peerBytes: number;
  readonly responseBytes: number;
  /** Heads that were read in part; parsed ones take about twice their bytes. */
  readonly partialHeadBytes: number;
  readonly callerConnections: number;
  readonly peerConnections: number;
  readonly operatorConnections: number;
}

/** Divides the memory and the descriptors of a machine; what is left is for the connections to endpoints. */
export function shareMachine({
  maxDescriptors,
  memoryMb,
}: MachineSettings): MachineShares {
  const bytes = Math.max(MIN_BYTES, memoryMb * BYTES_PER_MB * MEMORY_PART);
  const descriptors = Math.max(0, maxDescriptors - OWN_DESCRIPTORS);
  return {
    requestBytes: bytes,
    peerBytes: Math.max(MIN_BYTES, bytes / 2),
    responseBytes: bytes,
    partialHeadBytes: bytes / 2,
    callerConnections: Math.max(1, Math.floor(descriptors * CALLER_PART)),
    peerConnections: Math.max(1, Math.floor(descriptors * PEER_PART)),
    operatorConnections: Math.max(1, Math.floor(descriptors * OPERATOR_PART)),
  };
}
