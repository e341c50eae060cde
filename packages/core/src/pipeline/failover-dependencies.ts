import type {
  ReclaimNoticeTracker,
  RecordStore,
  RequestIdentity,
  RequestRecord,
  StreamPolicy,
} from '../streams/index.js';
import type { LiveRuns } from './live-runs.js';

/** Looks up the record of a request on other daemons. */
export interface RecordFinder {
  find(name: RequestIdentity): Promise<RequestRecord | undefined>;
}

/** Reports whether a version was rolled back; answers begun on it may then continue on another version. */
export interface VersionStatus {
  isTakenBack(group: string, version: string): boolean;
}

/** `VersionStatus` that reports no version as rolled back. */
export const NO_ROLLED_BACK_VERSIONS: VersionStatus = {
  isTakenBack: () => false,
};

/** Collaborators that let an accepted request continue when its instance is reclaimed or its stream fails. */
export interface FailoverDependencies {
  readonly policy: StreamPolicy;
  /** Announced reclaims of instances. */
  readonly reclaims: ReclaimNoticeTracker;
  /** Request records held by this daemon. */
  readonly records: RecordStore;
  /** Copies of request records held by other daemons. */
  readonly peerRecords: RecordFinder;
  readonly versionStatus: VersionStatus;
  /** Runs in progress in this process. */
  readonly liveRuns: LiveRuns;
}
