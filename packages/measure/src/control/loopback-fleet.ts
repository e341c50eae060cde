import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import type { DaemonIdentity } from '@skylarkreach/core/ports';
import { noopLog, noopMetrics, SeededRandom } from '@skylarkreach/core/ports';
import {
  createRulesEntry,
  RULES_KEY,
  RuleStore,
} from '@skylarkreach/core/rules';
import {
  CloudSeedSource,
  HttpClient,
  HttpListener,
  HttpPeer,
  MembershipService,
  PeerServer,
  SystemClock,
} from '@skylarkreach/daemon';
import { MemoryCloud } from '@skylarkreach/stand-ins';

const PEER_SECRET = 'peer-secret-example';
const LIST_LAG_MS = 100;
const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;

interface LoopbackDaemon {
  readonly http: HttpClient;
  readonly listener: HttpListener;
  readonly service: MembershipService;
  readonly rules: RuleStore;
}

/** Membership services of several daemons in this process that communicate over loopback sockets. */
export class LoopbackFleet {
  private readonly clock = new SystemClock();
  private readonly keyValue = new MemoryKeyValue(this.clock);
  private readonly cloud = new MemoryCloud(this.clock, LIST_LAG_MS);
  private readonly daemons: LoopbackDaemon[] = [];

  constructor(
    private readonly size: number,
    private readonly dataCentres: number,
    private readonly seed: number,
  ) {}

  async start(rulesText: string): Promise<void> {
    await this.writeRules(rulesText, 0);
    for (let index = 0; index < this.size; index += 1) {
      this.daemons.push(await this.startDaemon(index));
    }
    for (const { service } of this.daemons) {
      await service.loadInitialState();
      for (const loop of service.loops) loop.start();
    }
  }

  /** Writes new rules and applies them at the first daemon, as an edit accepted there does. */
  async changeRules(text: string): Promise<void> {
    const writer = this.daemons[0];
    if (writer === undefined) return;
    const version = await this.writeRules(text, writer.rules.revision);
    writer.rules.apply(createRulesEntry(text, version));
  }

  async stop(): Promise<void> {
    const loops = this.daemons.flatMap(daemon => daemon.service.loops);
    const stopped = loops.map(loop => loop.stop());
    this.keyValue.close();
    for (const { listener } of this.daemons) listener.destroy();
    await Promise.all(this.daemons.map(daemon => daemon.http.close()));
    await Promise.all(stopped);
  }

  private async writeRules(text: string, expectedVersion: number) {
    const result = await this.keyValue.put({
      key: RULES_KEY,
      value: createRulesEntry(text, expectedVersion + 1).value,
      expectedVersion,
      deadlineAtMs: this.clock.nowMs(),
    });
    return result.version;
  }

  private async startDaemon(index: number): Promise<LoopbackDaemon> {
    const { clock } = this;
    const http = new HttpClient(clock);
    const server = new PeerServer(PEER_SECRET, noopMetrics, clock);
    const listener = new HttpListener(
      {
        address: '127.0.0.1:0',
        maxHeaderBytes: MAX_HEADER_BYTES,
        headersTimeoutMs: HEADERS_TIMEOUT_MS,
        clock,
      },
      (request, response) => void server.serve(request, response),
    );
    const peerAddress = await listener.listen();
    const identity: DaemonIdentity = {
      id: `daemon-${index}`,
      dataCentre: `dc-${index % this.dataCentres}`,
      peerAddress,
      callerUrl: `http://${peerAddress}`,
    };
    const rules = new RuleStore();
    const service = new MembershipService(identity, {
      clock,
      random: new SeededRandom(this.seed + index),
      log: noopLog,
      metrics: noopMetrics,
      peer: new HttpPeer(http, PEER_SECRET, clock, noopMetrics),
      registry: server,
      seeds: new CloudSeedSource(this.cloud),
      rules: { keyValue: this.keyValue, store: rules },
    });
    this.cloud.addDaemon(identity);
    return { http, listener, service, rules };
  }
}
