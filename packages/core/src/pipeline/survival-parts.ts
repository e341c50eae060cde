import type {
  ReclaimNoticeTracker,
  RecordStore,
  RequestIdentity,
  RequestRecord,
  StreamPolicy,
} from '../streams/index.js';
import type { LiveRuns } from './live-runs.js';

/** Finds the record of a request at other daemons. */
export interface RecordFinder {
  find(name: RequestIdentity): Promise<RequestRecord | undefined>;
}

/** Tells which versions were taken back, so that an answer may change over. */
export interface VersionStatus {
  isTakenBack(group: string, version: string): boolean;
}

/** Status where no version is ever taken back. */
export const NO_VERSION_TAKEN_BACK: VersionStatus = {
  isTakenBack: () => false,
};

/** Parts that keep an accepted request alive when instances are taken. */
export interface SurvivalParts {
  readonly policy: StreamPolicy;
  readonly reclaims: ReclaimNoticeTracker;
  readonly records: RecordStore;
  readonly copies: RecordFinder;
  readonly versions: VersionStatus;
  readonly live: LiveRuns;
}
