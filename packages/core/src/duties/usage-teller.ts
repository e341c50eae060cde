import { z } from 'zod';

import type { DutyHolderPeer } from '../hints/index.js';
import { windowUsageSchema } from '../hints/index.js';
import {
  definePeerMethod,
  LogComponent,
  PlatformError,
} from '../ports/index.js';
import type { CollectorChoiceDependencies } from './collector-choice.js';
import { CollectorChoice } from './collector-choice.js';
import type {
  UsageForwarder,
  UsageForwarderDependencies,
  UsageHolder,
} from './usage-forwarder.js';

/** Time between two messages of one daemon. */
const TELL_INTERVAL_MS = 500;
/** The same for each peer, so that the load of a holder that all daemons tell does not grow with their number. */
const TELL_INTERVAL_PER_PEER_MS = 12.5; // at most 80 messages a second, some percent of a small core
/** The same for each daemon of a data centre. */
const COLLECT_INTERVAL_PER_PEER_MS = 25; // at most 40 messages a second to a collector, which may have 0.12 cores and serves requests
const CALL_TIMEOUT_MS = 400;
/** Time after the last change at which a collector is asked whether it has passed the counts on. */
const CONFIRMATION_MS = 1_000; // the collector's interval and the time limit of its call, and a margin

/** Peer method by which daemons tell the holder of the duties, or their collector, their counts. */
export const tellUsageMethod = definePeerMethod(
  'usage.tell',
  z.object({
    lifetime: z.string().min(1),
    usage: z.array(windowUsageSchema),
  }),
  z.object({
    /** Whether the counts go on to the holder of the duties. Absent in results of daemons that pass none on. */
    isPassedOn: z.boolean().optional().catch(undefined),
  }),
);

export interface UsageTellerDependencies
  extends UsageForwarderDependencies, CollectorChoiceDependencies {
  readonly forwarder: UsageForwarder;
}

/**
 * Tells the usage counts of this daemon soon after they change, as the random
 * exchange of hints reaches the holder of the duties too late among many: to the
 * collector of the data centre, or to the holder if it takes no collected counts.
 */
export class UsageTeller {
  private readonly choice: CollectorChoice;
  private toldChange = 0;
  private toldId = '';
  /** Time from which the told counts are to be confirmed. */
  private confirmAtMs = Infinity;
  private fencingNumber = 0;
  private nextTellAtMs = -Infinity;

  constructor(private readonly deps: UsageTellerDependencies) {
    const { forwarder, ledger, registry } = deps;
    this.choice = new CollectorChoice(deps);
    registry.handle(tellUsageMethod, message => {
      ledger.applyPeer(message);
      forwarder.record(message.lifetime);
      return Promise.resolve({ isPassedOn: forwarder.isPassingOn() });
    });
  }

  /** Tells the counts if they have changed and a message is due. */
  async step(): Promise<void> {
    const { clock, isEnabled, livePeers } = this.deps;
    const holder = isEnabled() ? this.deps.holder() : undefined;
    const nowMs = clock.nowMs();
    if (holder === undefined || nowMs < this.nextTellAtMs) return;
    const directIntervalMs = livePeers().length * TELL_INTERVAL_PER_PEER_MS;
    if (holder.takesCollected) await this.collect(holder, directIntervalMs);
    else if (holder.takesCounts)
      await this.tell(holder.daemon, directIntervalMs, true);
  }

  /** Tells the collector of the data centre, or leaves the counts to the forwarder if there is no other. */
  private async collect(
    { daemon, fencingNumber }: UsageHolder,
    directIntervalMs: number,
  ): Promise<void> {
    const { clock, forwarder, livePeers, log, self } = this.deps;
    const nowMs = clock.nowMs();
    if (fencingNumber !== this.fencingNumber) this.choice.forgetFailures();
    this.fencingNumber = fencingNumber;
    const collector = this.choice.choose(daemon.id, nowMs);
    if (collector === undefined) {
      const isSubstitute = this.choice.failedCount(nowMs) > 0;
      forwarder.recordOwn(isSubstitute ? directIntervalMs : 0);
      this.toldId = '';
      return;
    }
    forwarder.forgetOwn();
    const { dataCentre } = self();
    const locals = livePeers().filter(each => each.dataCentre === dataCentre);
    const intervalMs = locals.length * COLLECT_INTERVAL_PER_PEER_MS;
    const isPassedOn = await this.tell(collector, intervalMs, false);
    if (isPassedOn) return;
    this.choice.recordFailure(collector.id, clock.nowMs());
    log.warn(
      LogComponent.Duties,
      'The collector of usage counts does not pass them on; another is chosen.',
      { collector: collector.id },
    );
    this.toldId = '';
  }

  /** Tells a daemon the counts unless it has them, and a collector once more, as it may have started again meanwhile or failed to pass them on. Returns whether they go on to the holder of the duties, as far as is known. */
  private async tell(
    target: DutyHolderPeer,
    intervalMs: number,
    isHolder: boolean,
  ): Promise<boolean> {
    const { clock, ledger, peer } = this.deps;
    const { lifetime, ownChangeCount } = ledger;
    const isTold =
      target.id === this.toldId && ownChangeCount === this.toldChange;
    const nowMs = clock.nowMs();
    if (isTold && nowMs < this.confirmAtMs) return true;
    this.nextTellAtMs = nowMs + Math.max(TELL_INTERVAL_MS, intervalMs);
    try {
      const { isPassedOn } = await peer.call(
        target.peerAddress,
        tellUsageMethod,
        { lifetime, usage: ledger.ownUsage() },
        nowMs + CALL_TIMEOUT_MS,
      );
      this.toldChange = ownChangeCount;
      this.toldId = target.id;
      this.confirmAtMs =
        isTold || isHolder ? Infinity : nowMs + CONFIRMATION_MS;
      return isPassedOn === true;
    } catch (error) {
      // The hints carry the same counts.
      if (!(error instanceof PlatformError)) throw error;
      return false;
    }
  }
}
