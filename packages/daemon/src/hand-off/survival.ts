import { createHmac } from 'node:crypto';

import type {
  FailoverDependencies,
  VersionStatus,
} from '@skylarkreach/core/pipeline';
import { LiveRuns } from '@skylarkreach/core/pipeline';
import type {
  Clock,
  Cloud,
  DaemonIdentity,
  Log,
  Peer,
  PeerRegistry,
} from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';
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
import { ReclaimWatch } from './reclaim-watch.js';

const NOTICE_INTERVAL_MS = 500;
const DERIVED_KEY_ID = 'peer';

export interface SurvivalInputs {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly cloud: Cloud;
  readonly peer: Peer;
  readonly peerRegistry: PeerRegistry;
  /** The other live daemons. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
  readonly versions: VersionStatus;
}

/** What keeps accepted requests alive when this daemon or an engine is taken. */
export interface Survival {
  readonly parts: FailoverDependencies;
  readonly tokens: ResumeTokenSigner;
  readonly responses: OpenResponses;
  readonly handOff: HandOff;
  readonly loop: Loop;
}

/** Builds the parts that survive reclaims and registers their peer methods. */
export function createSurvival(inputs: SurvivalInputs): Survival {
  const { clock, cloud, log, peer, settings } = inputs;
  const { dataCentre, instanceId } = settings.identity;
  const directory: PeerDirectory = {
    peersOutside: doomed =>
      inputs.liveDaemons().filter(daemon => daemon.dataCentre !== doomed),
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
  const watch = new ReclaimWatch(cloud, reclaims, handOff, clock, instanceId);
  answerPeers(inputs.peerRegistry, records, live, clock);
  return {
    parts: {
      policy: DEFAULT_STREAM_POLICY,
      versionStatus: inputs.versions,
      reclaims,
      records,
      peerRecords: copies,
      liveRuns: live,
    },
    tokens: new ResumeTokenSigner(resumeKeys(settings)),
    responses,
    handOff,
    loop: new Loop(
      {
        name: 'reclaim notices',
        part: LogPart.Streams,
        nextAtMs: nowMs => nowMs + NOTICE_INTERVAL_MS,
        step: () => watch.step(),
      },
      clock,
      log,
    ),
  };
}

function answerPeers(
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

/** The keys of the settings, or one derived from the secret that all daemons share. */
function resumeKeys({ credentials }: Settings): readonly ResumeSigningKey[] {
  const { peerSecret, resumeKeys: keys } = credentials;
  if (keys !== undefined) return keys;
  const secret = createHmac('sha256', peerSecret)
    .update('resume tokens')
    .digest('hex');
  return [{ id: DERIVED_KEY_ID, secret }];
}
