import { createHash } from 'node:crypto';

import type {
  Clock,
  DaemonIdentity,
  DataCentre,
  Log,
  Peer,
} from '../ports/index.js';
import { LogPart, PlatformError } from '../ports/index.js';
import type { RequestName, RequestRecord } from './request-record.js';
import { findRecordMethod, putRecordMethod } from './request-record.js';

/** Data centres that a record is copied to, one daemon in each. */
const COPIES = 2;

const CALL_TIMEOUT_MS = 1_000;

/** The other live daemons that this one knows of. */
export interface PeerDirectory {
  peersOutside(dataCentre: DataCentre | undefined): readonly DaemonIdentity[];
}

/** A directory whose list is given to it. */
export class PeerList implements PeerDirectory {
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
 * Daemons that hold the record of a request: the first of each data centre by
 * rendezvous hashing, in order. Every daemon works out the same list from the
 * same directory, so that a record is found without being announced.
 */
export function recordHolders(
  name: RequestName,
  daemons: readonly DaemonIdentity[],
): readonly DaemonIdentity[] {
  const ranked = daemons
    .map(daemon => ({ daemon, weight: weightOf(name, daemon) }))
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

export interface RecordCopiesParts {
  readonly peer: Peer;
  readonly directory: PeerDirectory;
  readonly clock: Clock;
  readonly log: Log;
  /** Data centre of this daemon, which may be reclaimed as a whole. */
  readonly dataCentre: DataCentre;
}

/** Copies records to daemons of other data centres, and finds them there. */
export class RecordCopies {
  constructor(private readonly parts: RecordCopiesParts) {}

  /** Leaves copies of a record; returns the daemons that have taken one. */
  async send(record: RequestRecord): Promise<readonly DaemonIdentity[]> {
    const taken: DaemonIdentity[] = [];
    for (const holder of this.holders(record.work)) {
      if (taken.length === COPIES) break;
      if (await this.sendTo(holder, record)) taken.push(holder);
    }
    return taken;
  }

  /** The latest record that a holder has of the request. */
  async find(name: RequestName): Promise<RequestRecord | undefined> {
    const peers = this.parts.directory.peersOutside(undefined);
    const holders = recordHolders(name, peers).slice(0, COPIES + 1);
    const found = await Promise.all(
      holders.map(holder => this.findAt(holder, name)),
    );
    return found
      .filter(record => record !== undefined)
      .sort((left, right) => right.tokens - left.tokens)[0];
  }

  /** A daemon outside this data centre for callers to go on at. */
  successor(name: RequestName): DaemonIdentity | undefined {
    return this.holders(name)[0];
  }

  private holders(name: RequestName): readonly DaemonIdentity[] {
    const { dataCentre, directory } = this.parts;
    return recordHolders(name, directory.peersOutside(dataCentre));
  }

  private async sendTo(
    holder: DaemonIdentity,
    record: RequestRecord,
  ): Promise<boolean> {
    const { clock, log, peer } = this.parts;
    try {
      const answer = await peer.call(
        holder.peerAddress,
        putRecordMethod,
        record,
        clock.nowMs() + CALL_TIMEOUT_MS,
      );
      return answer.stored;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogPart.Streams, 'A record could not be copied.', {
        requestId: record.work.requestId,
        daemon: holder.id,
        error: error.message,
      });
      return false;
    }
  }

  private async findAt(
    holder: DaemonIdentity,
    name: RequestName,
  ): Promise<RequestRecord | undefined> {
    const { clock, peer } = this.parts;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    try {
      const address = holder.peerAddress;
      const answer = await peer.call(
        address,
        findRecordMethod,
        name,
        deadlineAtMs,
      );
      return answer.record;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return undefined;
    }
  }
}

/** Rendezvous weight: the lowest one wins. */
function weightOf(name: RequestName, daemon: DaemonIdentity): string {
  return createHash('sha256')
    .update(JSON.stringify([name.workspace, name.requestId, daemon.id]))
    .digest('hex');
}
