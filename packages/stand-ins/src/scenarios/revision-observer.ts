import type { LocalDeployment } from '../deployment/index.js';
import type { RevisionRecord } from './run-history.js';

const POLL_INTERVAL_MS = 20;

/** Polls every running daemon and records each change of its rule revision. */
export class RevisionObserver {
  readonly revisions: RevisionRecord[] = [];
  private readonly latestRevisions = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deployment: LocalDeployment) {}

  start(): void {
    this.timer = setInterval(() => {
      this.recordRevisions();
    }, POLL_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.recordRevisions();
  }

  private recordRevisions(): void {
    const { clock, daemons } = this.deployment;
    const atMs = clock.nowMs();
    for (const { daemon, id } of daemons) {
      const { revision } = daemon.wiring.pipelineDeps.rules;
      if (revision === this.latestRevisions.get(id)) continue;
      this.latestRevisions.set(id, revision);
      this.revisions.push({ daemonId: id, revision, atMs });
    }
  }
}
