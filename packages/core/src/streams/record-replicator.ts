import { createHash } from 'node:crypto';

import type {
  Clock,
  DaemonIdentity,
  DataCentre,
  Log,
  PeerClient,
} from '../ports/index.js';
import { LogComponent, PlatformError } from '../ports/index.js';
import type { RequestIdentity, RequestRecord } from './request-record.js';
import { findRecordMethod, putRecordMethod } from './request-record.js';

/** Number of data centres to which a record is copied, one daemon in each. */
const REPLICA_COUNT = 2;

const CALL_TIMEOUT_MS = 1_000;

/** Directory of the other live daemons known to this one. */
export interface PeerDirectory {
  peersOutside(dataCentre: DataCentre | undefined): readonly DaemonIdentity[];
}

/** Directory with an explicitly set list of daemons. */
export class StaticPeerDirectory implements PeerDirectory {
  private daemons: readonly DaemonIdentity[];

  constructor(daemons: readonly DaemonIdentity[] = []) {
    this.daemons = daemons;
  }

  replace(daemons: readonly DaemonIdentity[]): void {
    this.daemons = daemons;
  }

  peersOutside(dataCentre: DataCentre | undefined): readonly DaemonIdentity[] {
    return this.daemons.filter(daemon => daemon.dataCentre !== dataCentre);
  }
}

/**
 * Returns the daemons that hold the record of a request: the first one of each
 * data centre by rendezvous hashing, in order of rank. All daemons compute the
 * same list from the same directory, so a record is found without an
 * announcement of its location.
 */
export function rankReplicaHolders(
  request: RequestIdentity,
  daemons: readonly DaemonIdentity[],
): readonly DaemonIdentity[] {
  const ranked = daemons
    .map(daemon => ({ daemon, weight: rendezvousWeight(request, daemon) }))
    .sort((left, right) => (left.weight < right.weight ? -1 : 1));
  const seen = new Set<DataCentre>();
  return ranked
    .map(({ daemon }) => daemon)
    .filter(daemon => {
      if (seen.has(daemon.dataCentre)) return false;
      seen.add(daemon.dataCentre);
      return true;
    });
}

export interface RecordReplicatorDependencies {
  readonly peer: PeerClient;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  readonly log: Log;
  /** Data centre of this daemon. Records are copied outside it, because a data centre may be reclaimed as a whole. */
  readonly dataCentre: DataCentre;
}

/** Replicates request records to daemons of other data centres, and looks them up. */
export class RecordReplicator {
  constructor(private readonly deps: RecordReplicatorDependencies) {}

  /** Copies a record to up to `REPLICA_COUNT` daemons; returns those that stored it. */
  async replicate(record: RequestRecord): Promise<readonly DaemonIdentity[]> {
    const stored: DaemonIdentity[] = [];
    for (const holder of this.remoteHolders(record.work)) {
      if (stored.length === REPLICA_COUNT) break;
      if (await this.copyTo(holder, record)) stored.push(holder);
    }
    return stored;
  }

  /** Returns the most advanced record of the request among the daemons that may hold it; undefined where none has one. */
  async find(request: RequestIdentity): Promise<RequestRecord | undefined> {
    const peers = this.deps.directory.peersOutside(undefined);
    const holders = rankReplicaHolders(request, peers).slice(
      0,
      REPLICA_COUNT + 1,
    );
    const found = await Promise.all(
      holders.map(holder => this.fetchFrom(holder, request)),
    );
    return found
      .filter(record => record !== undefined)
      .sort((left, right) => right.tokens - left.tokens)[0];
  }

  /** Returns a daemon outside this data centre at which callers can resume the request. */
  successor(request: RequestIdentity): DaemonIdentity | undefined {
    return this.remoteHolders(request)[0];
  }

  private remoteHolders(request: RequestIdentity): readonly DaemonIdentity[] {
    const { dataCentre, directory } = this.deps;
    return rankReplicaHolders(request, directory.peersOutside(dataCentre));
  }

  private async copyTo(
    holder: DaemonIdentity,
    record: RequestRecord,
  ): Promise<boolean> {
    const { clock, log, peer } = this.deps;
    try {
      const response = await peer.call(
        holder.peerAddress,
        putRecordMethod,
        record,
        clock.nowMs() + CALL_TIMEOUT_MS,
      );
      return response.stored;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogComponent.Streams, 'A record could not be copied.', {
        requestId: record.work.requestId,
        daemon: holder.id,
        error: error.message,
      });
      return false;
    }
  }

  private async fetchFrom(
    holder: DaemonIdentity,
    request: RequestIdentity,
  ): Promise<RequestRecord | undefined> {
    const { clock, peer } = this.deps;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    try {
      const address = holder.peerAddress;
      const response = await peer.call(
        address,
        findRecordMethod,
        request,
        deadlineAtMs,
      );
      return response.record;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return undefined;
    }
  }
}

/** Returns the rendezvous weight; the daemon with the lowest weight ranks first. */
function rendezvousWeight(
  request: RequestIdentity,
  daemon: DaemonIdentity,
): string {
  return createHash('sha256')
    .update(JSON.stringify([request.workspace, request.requestId, daemon.id]))
    .digest('hex');
}
