import type { Address, Log, Metrics, Random } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { GroupReachability } from './group-reachability.js';

/** Endpoint as far as probes need to know it. */
export interface ProbedEndpoint {
  readonly group: string;
  readonly address: Address;
}

/** Tests whether endpoints accept connections. */
export interface ConnectionProbe {
  /** Resolves with false if the connection is refused or not accepted in time. */
  acceptsConnections(endpoint: ProbedEndpoint): Promise<boolean>;
}

export interface EndpointReachabilityDependencies {
  readonly nowMs: () => number;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly probe: ConnectionProbe;
  /** Returns the endpoints in use, of all groups. */
  readonly endpoints: () => readonly ProbedEndpoint[];
}

/** Number of endpoints that are probed at once after the first one did not accept a connection. */
const CONFIRMING_PROBES = 4;

type Listener = () => void;

/**
 * Decides for each group whether this daemon reaches its endpoints. Requests give
 * the evidence for free; new connections are opened only to confirm a doubt, and
 * at intervals while a group is unreachable. A daemon that cannot connect to any
 * endpoint treats the group as unreachable even if old connections still work.
 */
export class EndpointReachability {
  private readonly byGroup = new Map<string, GroupReachability>();
  private readonly roundsInProgress = new Map<string, Promise<void>>();
  private readonly silenceListeners = new Map<string, Set<Listener>>();

  constructor(private readonly deps: EndpointReachabilityDependencies) {}

  /** Returns the evidence on a group. */
  of(group: string): GroupReachability {
    let known = this.byGroup.get(group);
    if (known === undefined) {
      known = new GroupReachability();
      this.byGroup.set(group, known);
    }
    return known;
  }

  isUnreachable(group: string): boolean {
    return this.byGroup.get(group)?.unreachableSinceMs !== undefined;
  }

  /** Returns the groups whose endpoints were heard or found unreachable. */
  groups(): ReadonlyMap<string, GroupReachability> {
    return this.byGroup;
  }

  /** Calls the listener once the group is found unreachable while its connections are silent. Returns a function that removes it. */
  onSilence(group: string, listener: Listener): () => void {
    const listeners = this.silenceListeners.get(group) ?? new Set();
    this.silenceListeners.set(group, listeners.add(listener));
    return () => {
      listeners.delete(listener);
    };
  }

  /** Starts the probes that are due. Doesn't wait for their results. */
  step(): Promise<void> {
    const nowMs = this.deps.nowMs();
    const isAnyUnreachable = [...this.byGroup.values()].some(
      each => each.unreachableSinceMs !== undefined,
    );
    for (const [group, state] of this.byGroup) {
      if (!state.isProbeDue(nowMs, isAnyUnreachable)) continue;
      void this.confirm(group);
    }
    return Promise.resolve();
  }

  /** Probes the endpoints of a group, and resolves with whether they are reachable. */
  async confirm(group: string): Promise<boolean> {
    let round = this.roundsInProgress.get(group);
    if (round === undefined) {
      round = this.probe(group).finally(() => {
        this.roundsInProgress.delete(group);
      });
      this.roundsInProgress.set(group, round);
    }
    await round;
    return !this.isUnreachable(group);
  }

  /** Probes the endpoints of all groups, and resolves with whether any of them is reachable. */
  async confirmAny(): Promise<boolean> {
    const groups = new Set(this.deps.endpoints().map(({ group }) => group));
    const results = await Promise.all(
      [...groups].map(group => this.confirm(group)),
    );
    return results.includes(true);
  }

  private async probe(group: string): Promise<void> {
    const targets = this.shuffledEndpoints(group);
    const [first, ...others] = targets;
    if (first === undefined) return;
    const wasUnreachable = this.isUnreachable(group);
    const { probe } = this.deps;
    this.deps.metrics.increment('endpoints.probeRounds');
    const isFirstReached = await probe.acceptsConnections(first);
    // Beside endpoints that cannot be reached, a single one that can is no return to normal.
    const second = wasUnreachable ? others[0] : undefined;
    if (isFirstReached) {
      const isConfirmed =
        second === undefined || (await probe.acceptsConnections(second));
      this.recordResult(group, isConfirmed);
      return;
    }
    const results = wasUnreachable
      ? []
      : await Promise.all(
          others
            .slice(0, CONFIRMING_PROBES)
            .map(endpoint => probe.acceptsConnections(endpoint)),
        );
    this.recordResult(group, results.includes(true));
  }

  private recordResult(group: string, isReachable: boolean): void {
    const { log, metrics } = this.deps;
    const nowMs = this.deps.nowMs();
    const state = this.of(group);
    const { heardAtMs, unreachableSinceMs } = state;
    const isSilent = state.isSilent(nowMs);
    if (!state.recordProbe(isReachable, nowMs)) return;
    const count = [...this.byGroup.values()].filter(
      each => each.unreachableSinceMs !== undefined,
    ).length;
    metrics.gauge('endpoints.unreachableGroups', count);
    if (isReachable) {
      log.info(LogComponent.Routing, 'A group is reachable again.', {
        group,
        unreachableForMs: Math.round(nowMs - (unreachableSinceMs ?? nowMs)),
      });
      return;
    }
    log.warn(LogComponent.Routing, 'No endpoint of a group is reachable.', {
      group,
      isSilent,
      ...(Number.isFinite(heardAtMs) && {
        heardAgoMs: Math.round(nowMs - heardAtMs),
      }),
    });
    if (isSilent) this.notifySilence(group);
  }

  private notifySilence(group: string): void {
    const listeners = this.silenceListeners.get(group) ?? [];
    for (const listener of [...listeners]) listener();
  }

  private shuffledEndpoints(group: string): readonly ProbedEndpoint[] {
    const { endpoints, random } = this.deps;
    return endpoints()
      .filter(endpoint => endpoint.group === group)
      .map(endpoint => ({ endpoint, order: random.nextFloat() }))
      .sort((left, right) => left.order - right.order)
      .map(({ endpoint }) => endpoint);
  }
}
