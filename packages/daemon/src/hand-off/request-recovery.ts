import { createHmac } from 'node:crypto';

import type {
  FailoverDependencies,
  VersionStatus,
} from '@skylarkreach/core/pipeline';
import { LiveRuns } from '@skylarkreach/core/pipeline';
import type {
  Clock,
  CloudClient,
  DaemonIdentity,
  Log,
  PeerClient,
  PeerRegistry,
} from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';
import type {
  PeerDirectory,
  ResumeSigningKey,
} from '@skylarkreach/core/streams';
import {
  DEFAULT_STREAM_POLICY,
  findRecordMethod,
  putRecordMethod,
  ReclaimNoticeTracker,
  RecordReplicator,
  RecordStore,
  ResumeTokenSigner,
} from '@skylarkreach/core/streams';

import { Loop } from '../loops/index.js';
import type { Settings } from '../settings/index.js';
import { HandOff } from './hand-off.js';
import { OpenResponses } from './open-responses.js';
import { ReclaimNoticePoller } from './reclaim-notice-poller.js';

const NOTICE_POLL_INTERVAL_MS = 500;
const DERIVED_KEY_ID = 'peer';

export interface RequestRecoveryDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly cloud: CloudClient;
  readonly peer: PeerClient;
  readonly peerRegistry: PeerRegistry;
  /** The other live daemons. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
  readonly versions: VersionStatus;
}

/** Components that let accepted requests survive the reclaim of this daemon or of an engine. */
export interface RequestRecovery {
  readonly pipelineDependencies: FailoverDependencies;
  readonly resumeTokens: ResumeTokenSigner;
  readonly responses: OpenResponses;
  readonly handOff: HandOff;
  readonly reclaimNoticeLoop: Loop;
}

/** Creates the components that let requests survive reclaims, and registers their peer methods. */
export function createRequestRecovery(
  deps: RequestRecoveryDependencies,
): RequestRecovery {
  const { clock, cloud, log, peer, settings } = deps;
  const { dataCentre, instanceId } = settings.identity;
  const directory: PeerDirectory = {
    peersOutside: excludedDataCentre =>
      deps
        .liveDaemons()
        .filter(daemon => daemon.dataCentre !== excludedDataCentre),
  };
  const copies = new RecordReplicator({
    peer,
    directory,
    clock,
    log,
    dataCentre,
  });
  const records = new RecordStore();
  const live = new LiveRuns();
  const responses = new OpenResponses();
  const reclaims = new ReclaimNoticeTracker();
  const { marginMs } = settings.handOff;
  const handOff = new HandOff({
    clock,
    log,
    live,
    records,
    copies,
    responses,
    marginMs,
  });
  const poller = new ReclaimNoticePoller(
    cloud,
    reclaims,
    handOff,
    clock,
    instanceId,
  );
  registerPeerMethods(deps.peerRegistry, records, live, clock);
  return {
    pipelineDependencies: {
      policy: DEFAULT_STREAM_POLICY,
      versionStatus: deps.versions,
      reclaims,
      records,
      peerRecords: copies,
      liveRuns: live,
    },
    resumeTokens: new ResumeTokenSigner(resumeKeys(settings)),
    responses,
    handOff,
    reclaimNoticeLoop: new Loop(
      {
        name: 'reclaim notices',
        part: LogComponent.Streams,
        nextAtMs: nowMs => nowMs + NOTICE_POLL_INTERVAL_MS,
        step: () => poller.poll(),
      },
      clock,
      log,
    ),
  };
}

function registerPeerMethods(
  registry: PeerRegistry,
  records: RecordStore,
  live: LiveRuns,
  clock: Clock,
): void {
  registry.handle(putRecordMethod, record =>
    Promise.resolve({ stored: records.put(record, clock.nowMs()) }),
  );
  registry.handle(findRecordMethod, name => {
    const record = live.find(name) ?? records.find(name, clock.nowMs());
    return Promise.resolve({ record });
  });
}

/** Returns the keys of the settings, or one derived from the secret that all daemons share. */
function resumeKeys({ credentials }: Settings): readonly ResumeSigningKey[] {
  const { peerSecret, resumeKeys: keys } = credentials;
  if (keys !== undefined) return keys;
  const secret = createHmac('sha256', peerSecret)
    .update('resume tokens')
    .digest('hex');
  return [{ id: DERIVED_KEY_ID, secret }];
}
