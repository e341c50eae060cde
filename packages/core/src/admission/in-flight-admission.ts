import type { Clock, Workspace } from '../ports/index.js';
import type {
  Admission,
  AdmissionRequest,
  AdmissionTicket,
} from './admission.js';
import { AdmissionRefusedError, RefusalReason } from './admission.js';

const RETRY_DELAY_MS = 1_000;

/** Admits at once up to each workspace's limit of requests in flight; it has no queue. */
export class InFlightAdmission implements Admission {
  private readonly inFlight = new Map<Workspace, number>();

  constructor(private readonly clock: Clock) {}

  admit(request: AdmissionRequest): Promise<AdmissionTicket> {
    const count = this.inFlight.get(request.workspace) ?? 0;
    const limit = request.limits.inFlight ?? Infinity;
    if (count >= limit) {
      return Promise.reject(
        new AdmissionRefusedError(
          `Workspace ${request.workspace} has ${count} requests in flight, its limit; wait for one to end.`,
          RefusalReason.WorkspaceInFlight,
          this.clock.nowMs() + RETRY_DELAY_MS,
        ),
      );
    }
    this.inFlight.set(request.workspace, count + 1);
    return Promise.resolve(this.ticket(request.workspace));
  }

  private ticket(workspace: Workspace): AdmissionTicket {
    let held = true;
    return {
      release: () => {
        if (!held) return;
        held = false;
        const count = this.inFlight.get(workspace) ?? 1;
        if (count > 1) this.inFlight.set(workspace, count - 1);
        else this.inFlight.delete(workspace);
      },
    };
  }
}
