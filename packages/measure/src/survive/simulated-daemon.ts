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
import type { DaemonIdentity, Service } from '@skylarkreach/core/ports';
import {
  NotFoundError,
  SeededRandom,
  silentLog,
  silentMetrics,
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

import { GROUP, tokenHash, WORKSPACES } from './trace.js';
import type { World } from './simulated-platform.js';

const RULES = `kind=* target=${GROUP} deadline=10m # operations, all questions\n`;

const noService: Service = {
  call: () => Promise.reject(new NotFoundError('No service runs here.')),
  outcome: () => Promise.reject(new NotFoundError('No service runs here.')),
};

/** The decisions of one daemon over the world's engines. */
export class SimulatedDaemon {
  readonly peers = new StaticPeerDirectory();
  readonly pipeline: ModelPipeline;
  /** Aborted once this daemon lets go of its requests. */
  readonly end = new AbortController();
  private readonly records = new RecordStore();
  private readonly live = new LiveRuns();
  private readonly copies: RecordReplicator;

  constructor(
    readonly identity: DaemonIdentity,
    private readonly world: World,
    private readonly network: MemoryPeers,
    seed: number,
  ) {
    const { clock } = world;
    const address = identity.peerAddress;
    this.copies = new RecordReplicator({
      peer: network.peer(address),
      directory: this.peers,
      dataCentre: identity.dataCentre,
      log: silentLog,
      clock,
    });
    const registry = network.registry(address);
    registry.handle(putRecordMethod, record =>
      Promise.resolve({ stored: this.records.put(record, clock.nowMs()) }),
    );
    registry.handle(findRecordMethod, name =>
      Promise.resolve({ record: this.records.find(name, clock.nowMs()) }),
    );
    this.pipeline = new ModelPipeline(this.parts(seed), {
      policy: DEFAULT_STREAM_POLICY,
      versionStatus: NO_ROLLED_BACK_VERSIONS,
      reclaims: world.reclaims,
      records: this.records,
      peerRecords: this.copies,
      liveRuns: this.live,
    });
  }

  /** Lets go of every request and leaves its final record with peers. */
  async handOff(): Promise<void> {
    const names = this.live.allRecords().map(({ work }) => work);
    this.end.abort(new RunEndedError(RunEndReason.Detached));
    await this.world.clock.waitUntil(this.world.clock.nowMs() + 1);
    for (const name of names) {
      const record = this.records.find(name, this.world.clock.nowMs());
      if (record !== undefined) await this.copies.replicate(record);
    }
  }

  /** Ends at once; nothing is copied. */
  kill(): void {
    this.network.remove(this.identity.peerAddress);
    this.end.abort(new RunEndedError(RunEndReason.Detached));
  }

  private parts(seed: number): PipelineDependencies {
    const { clock, engine, router } = this.world;
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
          sha256: tokenHash(workspace),
        })),
      ),
      admission: new InFlightAdmission(clock),
      claims: new SingleKeyClaims(new MemoryKeyValue(clock), clock, 1),
      service: noService,
      log: silentLog,
      metrics: silentMetrics,
    };
  }
}
