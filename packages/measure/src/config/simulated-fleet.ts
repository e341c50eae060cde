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
  noopLog,
  noopMetrics,
  SeededRandom,
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
import { CountingPeer, TrafficCounter } from './counting-peer.js';

const START_MS = 1_000_000;
const LIST_LAG_MS = 5_000;
const CALL_TIMEOUT_MS = 2_000;

export interface SimulatedFleetOptions {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly seed: number;
}

/** The membership service and rules of a daemon, without its HTTP servers. */
export interface SimulatedDaemon {
  readonly identity: DaemonIdentity;
  readonly service: MembershipService;
  readonly rules: RuleStore;
}

/**
 * Membership services of many daemons on a manual clock, with faults on links
 * and the key-value service.
 */
export class SimulatedFleet {
  readonly clock = new ManualClock(START_MS);
  readonly random: SeededRandom;
  readonly traffic = new TrafficCounter();
  readonly keyValue: FaultyKeyValue;
  readonly daemons: SimulatedDaemon[] = [];
  isKeyValueDown = false;
  /** Share of directed links on which no message arrives; the same links each time. */
  silentLinkShare = 0;
  /** Share of messages that are lost. */
  messageLossShare = 0;
  /** Addresses of daemons that neither send nor receive messages, as while a process is paused. */
  readonly pausedAddresses = new Set<Address>();
  private readonly network: MemoryPeers;
  private readonly cloud: MemoryCloud;
  private nextId = 1;

  constructor(private readonly options: SimulatedFleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new MemoryPeers(this.clock, (from, to) =>
      this.chooseLinkFault(from, to),
    );
    this.keyValue = new FaultyKeyValue(
      new MemoryKeyValue(this.clock),
      this.clock,
      () => (this.isKeyValueDown ? Fault.Down : Fault.None),
    );
    this.cloud = new MemoryCloud(this.clock, LIST_LAG_MS);
  }

  /** Writes the first revision of the rules, adds all daemons to the platform's list and starts them. */
  async start(rulesText: string): Promise<void> {
    await this.writeRules(rulesText, 0);
    for (let index = 0; index < this.options.daemons; index += 1) {
      this.addDaemon(`dc-${index % this.options.dataCentres}`);
    }
  }

  /** Starts one daemon. Its initial reads complete as the clock advances. */
  addDaemon(dataCentre: string): SimulatedDaemon {
    const number = this.nextId;
    this.nextId += 1;
    const peerAddress = `10.0.${number >> 8}.${number & 255}:8082`;
    const identity: DaemonIdentity = {
      id: `daemon-${number}`,
      dataCentre,
      peerAddress,
      callerUrl: `http://10.0.${number >> 8}.${number & 255}:8080`,
    };
    const daemon = this.buildDaemon(identity);
    this.cloud.addDaemon(identity);
    this.daemons.push(daemon);
    void this.startDaemon(daemon);
    return daemon;
  }

  /** Kills a daemon without notice. The platform's list contains it until the next refresh. */
  killDaemon(daemon: SimulatedDaemon): void {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    this.network.remove(daemon.identity.peerAddress);
    for (const loop of daemon.service.loops) void loop.stop();
    this.cloud.removeDaemon(daemon.identity.id);
  }

  /** Writes the rules to the key-value service; returns the new revision. */
  async writeRules(text: string, expectedVersion: number): Promise<number> {
    const keyValue = new CompressedKeyValue(this.keyValue, noopLog);
    const result = await keyValue.put({
      key: RULES_KEY,
      value: createRulesEntry(text, expectedVersion + 1).value,
      expectedVersion,
      deadlineAtMs: this.clock.nowMs() + CALL_TIMEOUT_MS,
    });
    return result.version;
  }

  /** Sends a push message from one daemon to another. */
  async sendPush(
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

  /** Returns a random daemon of the fleet. */
  pickDaemon(): SimulatedDaemon {
    const daemon = this.daemons[this.random.nextInteger(this.daemons.length)];
    if (daemon === undefined)
      throw new Error('The fleet is empty; add a daemon.');
    return daemon;
  }

  stop(): void {
    for (const daemon of [...this.daemons]) this.killDaemon(daemon);
  }

  private async startDaemon(daemon: SimulatedDaemon): Promise<void> {
    await daemon.service.loadInitialState();
    if (!this.daemons.includes(daemon)) return;
    for (const loop of daemon.service.loops) loop.start();
  }

  private buildDaemon(identity: DaemonIdentity): SimulatedDaemon {
    const { peerAddress } = identity;
    const rules = new RuleStore();
    const service = new MembershipService(identity, {
      clock: this.clock,
      random: new SeededRandom(this.random.nextInteger(2 ** 31)),
      log: noopLog,
      metrics: noopMetrics,
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
          noopLog,
        ),
        store: rules,
      },
    });
    return { identity, service, rules };
  }

  private chooseLinkFault(from: Address, to: Address): Fault {
    if (this.pausedAddresses.has(from) || this.pausedAddresses.has(to))
      return Fault.Silent;
    if (
      this.messageLossShare > 0 &&
      this.random.nextFloat() < this.messageLossShare
    ) {
      return this.random.nextFloat() < 0.5 ? Fault.CallLost : Fault.AnswerLost;
    }
    return this.isSilentLink(from, to) ? Fault.Silent : Fault.None;
  }

  /** Derives the result from a hash of the link, so that a link stays silent while the share is unchanged. */
  private isSilentLink(from: Address, to: Address): boolean {
    if (this.silentLinkShare === 0) return false;
    const seed = hashText(`${from}>${to}>${this.options.seed}`);
    return new SeededRandom(seed).nextFloat() < this.silentLinkShare;
  }
}

function hashText(text: string): number {
  let hash = 0;
  for (let index = 0; index < text.length; index += 1) {
    hash = (Math.imul(hash, 31) + text.charCodeAt(index)) | 0;
  }
  return hash;
}
