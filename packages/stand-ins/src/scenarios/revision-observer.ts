import type { LocalDeployment } from '../deployment/index.js';
import type { RevisionEvidence } from './evidence.js';

const INTERVAL_MS = 20;

/** Notes each change of the rule revision at every daemon that runs. */
export class RevisionObserver {
  readonly revisions: RevisionEvidence[] = [];
  private readonly newest = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deployment: LocalDeployment) {}

  start(): void {
    this.timer = setInterval(() => {
      this.observe();
    }, INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.observe();
  }

  private observe(): void {
    const { clock, daemons } = this.deployment;
    const atMs = clock.nowMs();
    for (const { daemon, id } of daemons) {
      const { revision } = daemon.wiring.parts.rules;
      if (revision === this.newest.get(id)) continue;
      this.newest.set(id, revision);
      this.revisions.push({ daemonId: id, revision, atMs });
    }
  }
}
