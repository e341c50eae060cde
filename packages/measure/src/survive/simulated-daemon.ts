import { InFlightAdmission } from '@skylarkreach/core/admission';
import { SingleKeyClaims } from '@skylarkreach/core/claims';
import type { MemoryPeers } from '@skylarkreach/core/fakes';
import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import type { PipelineDependencies } from '@skylarkreach/core/pipeline';
import {
  LiveRuns,
  ModelPipeline,
  NO_ROLLED_BACK_VERSIONS,
  RunEndedError,
  RunEndReason,
  TokenDirectory,
} from '@skylarkreach/core/pipeline';
import type { DaemonIdentity, ServiceClient } from '@skylarkreach/core/ports';
import {
  noopLog,
  noopMetrics,
  NotFoundError,
  SeededRandom,
} from '@skylarkreach/core/ports';
import { createRulesEntry, RuleStore } from '@skylarkreach/core/rules';
import {
  DEFAULT_STREAM_POLICY,
  findRecordMethod,
  putRecordMethod,
  RecordReplicator,
  RecordStore,
  StaticPeerDirectory,
} from '@skylarkreach/core/streams';

import type { SimulatedPlatform } from './simulated-platform.js';
import { GROUP, hashBearerToken, WORKSPACES } from './trace.js';

const RULES = `kind=* target=${GROUP} deadline=10m # operations, all questions\n`;

const NO_SERVICE: ServiceClient = {
  call: () =>
    Promise.reject(new NotFoundError('The simulation has no plain services.')),
  outcome: () =>
    Promise.reject(new NotFoundError('The simulation has no plain services.')),
};

/** Daemon with the real request pipeline, running on the engines of the simulated platform. */
export class SimulatedDaemon {
  readonly peers = new StaticPeerDirectory();
  readonly pipeline: ModelPipeline;
  /** Aborted once this daemon ends its requests, by hand-off or because it was killed. */
  readonly shutdown = new AbortController();
  private readonly records = new RecordStore();
  private readonly liveRuns = new LiveRuns();
  private readonly replicator: RecordReplicator;

  constructor(
    readonly identity: DaemonIdentity,
    private readonly platform: SimulatedPlatform,
    private readonly network: MemoryPeers,
    seed: number,
  ) {
    const { clock } = platform;
    const address = identity.peerAddress;
    this.replicator = new RecordReplicator({
      peer: network.peer(address),
      directory: this.peers,
      dataCentre: identity.dataCentre,
      log: noopLog,
      clock,
    });
    const registry = network.registry(address);
    registry.handle(putRecordMethod, record =>
      Promise.resolve({ stored: this.records.put(record, clock.nowMs()) }),
    );
    registry.handle(findRecordMethod, name =>
      Promise.resolve({ record: this.records.find(name, clock.nowMs()) }),
    );
    this.pipeline = new ModelPipeline(this.createDependencies(seed), {
      policy: DEFAULT_STREAM_POLICY,
      versionStatus: NO_ROLLED_BACK_VERSIONS,
      reclaims: platform.reclaims,
      records: this.records,
      peerRecords: this.replicator,
      liveRuns: this.liveRuns,
    });
  }

  /** Ends every request and replicates its final record to peers. */
  async handOff(): Promise<void> {
    const names = this.liveRuns.allRecords().map(({ work }) => work);
    this.shutdown.abort(new RunEndedError(RunEndReason.Detached));
    await this.platform.clock.waitUntil(this.platform.clock.nowMs() + 1);
    for (const name of names) {
      const record = this.records.find(name, this.platform.clock.nowMs());
      if (record !== undefined) await this.replicator.replicate(record);
    }
  }

  /** Ends all requests at once, without replicating their records. */
  kill(): void {
    this.network.remove(this.identity.peerAddress);
    this.shutdown.abort(new RunEndedError(RunEndReason.Detached));
  }

  private createDependencies(seed: number): PipelineDependencies {
    const { clock, engine, router } = this.platform;
    const rules = new RuleStore();
    rules.apply(createRulesEntry(RULES, 1));
    return {
      clock,
      engine,
      router,
      rules,
      random: new SeededRandom(seed),
      tokens: new TokenDirectory(
        WORKSPACES.map(workspace => ({
          workspace,
          sha256: hashBearerToken(workspace),
        })),
      ),
      admission: new InFlightAdmission(clock),
      claims: new SingleKeyClaims(new MemoryKeyValue(clock), clock, 1),
      service: NO_SERVICE,
      log: noopLog,
      metrics: noopMetrics,
    };
  }
}
