import type { Clock, Workspace } from '../ports/index.js';
import type {
  Admission,
  AdmissionRequest,
  AdmissionTicket,
} from './admission.js';
import { AdmissionRefusedError, RefusalReason } from './admission.js';

const RETRY_DELAY_MS = 1_000;

/** Admission control that admits immediately up to each workspace's limit of requests in flight, without a queue. */
export class InFlightAdmission implements Admission {
  private readonly inFlightByWorkspace = new Map<Workspace, number>();

  constructor(private readonly clock: Clock) {}

  admit(request: AdmissionRequest): Promise<AdmissionTicket> {
    const count = this.inFlightByWorkspace.get(request.workspace) ?? 0;
    const limit = request.limits.inFlight ?? Infinity;
    if (count >= limit) {
      return Promise.reject(
        new AdmissionRefusedError(
          `Workspace ${request.workspace} has ${count} requests in flight, which is its limit; wait until one of them has ended.`,
          RefusalReason.WorkspaceInFlight,
          this.clock.nowMs() + RETRY_DELAY_MS,
        ),
      );
    }
    this.inFlightByWorkspace.set(request.workspace, count + 1);
    return Promise.resolve(this.createTicket(request.workspace));
  }

  private createTicket(workspace: Workspace): AdmissionTicket {
    let isHeld = true;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        const count = this.inFlightByWorkspace.get(workspace) ?? 1;
        if (count > 1) this.inFlightByWorkspace.set(workspace, count - 1);
        else this.inFlightByWorkspace.delete(workspace);
      },
    };
  }
}
