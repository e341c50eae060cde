import {
  Fault,
  FaultyKeyValue,
  MemoryKeyValue,
  MemoryPeers,
} from '@skylarkreach/core/fakes';
import type { PushMessage } from '@skylarkreach/core/membership';
import { pushMethod } from '@skylarkreach/core/membership';
import type { Address, DaemonIdentity } from '@skylarkreach/core/ports';
import {
  ManualClock,
  SeededRandom,
  silentLog,
  silentMetrics,
} from '@skylarkreach/core/ports';
import {
  createRulesEntry,
  RULES_KEY,
  RuleStore,
} from '@skylarkreach/core/rules';
import {
  CloudSeedSource,
  CompressedKeyValue,
  MembershipService,
} from '@skylarkreach/daemon';
import { MemoryCloud } from '@skylarkreach/stand-ins';

import { CountingKeyValue } from './counting-key-value.js';
import { CountingPeer, TrafficCount } from './counting-peer.js';

const START_MS = 1_000_000;
const LIST_LAG_MS = 5_000;
const CALL_TIMEOUT_MS = 2_000;

export interface FleetOptions {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly seed: number;
}

/** A daemon's control part, without its servers. */
export interface SimulatedDaemon {
  readonly identity: DaemonIdentity;
  readonly service: MembershipService;
  readonly rules: RuleStore;
}

/** Control parts of many daemons on a manual clock, with faults on links and the key-value service. */
export class SimulatedFleet {
  readonly clock = new ManualClock(START_MS);
  readonly random: SeededRandom;
  readonly traffic = new TrafficCount();
  readonly keyValue: FaultyKeyValue;
  readonly daemons: SimulatedDaemon[] = [];
  keyValueDown = false;
  /** Share of directed links on which nothing arrives, for good. */
  silentShare = 0;
  /** Share of messages that are lost. */
  lossShare = 0;
  /** Daemons that nothing reaches and that reach nobody, as while a process is paused. */
  readonly paused = new Set<Address>();
  private readonly network: MemoryPeers;
  private readonly cloud: MemoryCloud;
  private nextId = 1;

  constructor(private readonly options: FleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new MemoryPeers(this.clock, (from, to) =>
      this.linkFault(from, to),
    );
    this.keyValue = new FaultyKeyValue(
      new MemoryKeyValue(this.clock),
      this.clock,
      () => (this.keyValueDown ? Fault.Down : Fault.None),
    );
    this.cloud = new MemoryCloud(this.clock, LIST_LAG_MS);
  }

  /** Writes the first rules, lists all daemons and starts them. */
  async start(rulesText: string): Promise<void> {
    await this.write(rulesText, 0);
    for (let index = 0; index < this.options.daemons; index += 1) {
      this.add(`dc-${index % this.options.dataCentres}`);
    }
  }

  /** Starts one daemon; it is primed as the clock advances. */
  add(dataCentre: string): SimulatedDaemon {
    const number = this.nextId;
    this.nextId += 1;
    const peerAddress = `10.0.${number >> 8}.${number & 255}:8082`;
    const identity: DaemonIdentity = {
      id: `daemon-${number}`,
      dataCentre,
      peerAddress,
      callerUrl: `http://10.0.${number >> 8}.${number & 255}:8080`,
    };
    const daemon = this.build(identity);
    this.cloud.addDaemon(identity);
    this.daemons.push(daemon);
    void this.run(daemon);
    return daemon;
  }

  /** Ends a daemon without notice. The platform's list still names it for a while. */
  kill(daemon: SimulatedDaemon): void {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    this.network.remove(daemon.identity.peerAddress);
    for (const loop of daemon.service.loops) void loop.stop();
    this.cloud.removeDaemon(daemon.identity.id);
  }

  /** Writes the rules to the key-value service; returns the new revision. */
  async write(text: string, expectedVersion: number): Promise<number> {
    const keyValue = new CompressedKeyValue(this.keyValue, silentLog);
    const result = await keyValue.put({
      key: RULES_KEY,
      value: createRulesEntry(text, expectedVersion + 1).value,
      expectedVersion,
      deadlineAtMs: this.clock.nowMs() + CALL_TIMEOUT_MS,
    });
    return result.version;
  }

  /** Delivers a push from one daemon to another. */
  async push(
    from: SimulatedDaemon,
    to: SimulatedDaemon,
    message: PushMessage,
  ): Promise<void> {
    const peer = this.network.peer(from.identity.peerAddress);
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    await peer.call(to.identity.peerAddress, pushMethod, message, deadlineAtMs);
  }

  async advance(byMs: number): Promise<void> {
    await this.clock.advanceTo(this.clock.nowMs() + byMs);
  }

  pick(): SimulatedDaemon {
    const daemon = this.daemons[this.random.nextInteger(this.daemons.length)];
    if (daemon === undefined)
      throw new Error('The fleet is empty; add a daemon.');
    return daemon;
  }

  stop(): void {
    for (const daemon of [...this.daemons]) this.kill(daemon);
  }

  private async run(daemon: SimulatedDaemon): Promise<void> {
    await daemon.service.loadInitialState();
    if (!this.daemons.includes(daemon)) return;
    for (const loop of daemon.service.loops) loop.start();
  }

  private build(identity: DaemonIdentity): SimulatedDaemon {
    const { peerAddress } = identity;
    const rules = new RuleStore();
    const service = new MembershipService(identity, {
      clock: this.clock,
      random: new SeededRandom(this.random.nextInteger(2 ** 31)),
      log: silentLog,
      metrics: silentMetrics,
      peer: new CountingPeer(
        this.network.peer(peerAddress),
        peerAddress,
        this.traffic,
      ),
      registry: this.network.registry(peerAddress),
      seeds: new CloudSeedSource(this.cloud),
      rules: {
        keyValue: new CompressedKeyValue(
          new CountingKeyValue(this.keyValue, peerAddress, this.traffic),
          silentLog,
        ),
        store: rules,
      },
    });
    return { identity, service, rules };
  }

  private linkFault(from: Address, to: Address): Fault {
    if (this.paused.has(from) || this.paused.has(to)) return Fault.Silent;
    if (this.lossShare > 0 && this.random.nextFloat() < this.lossShare) {
      return this.random.nextFloat() < 0.5 ? Fault.CallLost : Fault.AnswerLost;
    }
    return this.isSilent(from, to) ? Fault.Silent : Fault.None;
  }

  /** The same links stay silent for as long as the share holds. */
  private isSilent(from: Address, to: Address): boolean {
    if (this.silentShare === 0) return false;
    const seed = hashText(`${from}>${to}>${this.options.seed}`);
    return new SeededRandom(seed).nextFloat() < this.silentShare;
  }
}

function hashText(text: string): number {
  let hash = 0;
  for (let index = 0; index < text.length; index += 1) {
    hash = (Math.imul(hash, 31) + text.charCodeAt(index)) | 0;
  }
  return hash;
}
