import { setTimeout as delay } from 'node:timers/promises';

import { StoreFault as StoreMode } from '@skylarkreach/platform/stand-ins';

import type { GatewayDeployment, SoakPlan } from '../gateway/index.js';
import type { RecordAct } from './endpoint-faults.js';
import { ActKind } from './loss-checks.js';

const MIN_FAULT_MS = 500;
const FAULT_SPREAD_MS = 3_500;
const MODES = Object.values(StoreMode).filter(mode => mode !== StoreMode.None);

/** Trouble of the store that all daemons meet. */
export enum StoreFault {
  /** Calls are refused, slow, carried out late or without an answer. */
  Calls = 'storeCalls',
  /** Leases end during such trouble. */
  CallsAndLeases = 'storeCallsAndLeases',
  EndLeases = 'endLeases',
  ForgetHistory = 'forgetHistory',
  /** The store is set back to what it held seconds before. */
  Restore = 'restore',
}

/** Faults of the store of a soak. */
export class StoreFaults {
  constructor(
    private readonly plan: SoakPlan,
    private readonly record: RecordAct,
    private readonly deployment: GatewayDeployment,
  ) {}

  async apply(fault: StoreFault): Promise<void> {
    const { state } = this.deployment.store;
    switch (fault) {
      case StoreFault.Calls:
        await this.disturbCalls();
        break;
      case StoreFault.CallsAndLeases:
        await this.disturbCalls(() => {
          state.expireLeases(Infinity);
        });
        break;
      case StoreFault.EndLeases:
        this.once(fault);
        state.expireLeases(Infinity);
        break;
      case StoreFault.ForgetHistory:
        this.once(fault);
        state.compactHistory();
        break;
      case StoreFault.Restore: {
        const restore = state.copy();
        await delay(this.faultMs());
        this.once(fault);
        restore();
      }
    }
  }

  private async disturbCalls(beforeEnd?: () => void): Promise<void> {
    const { store } = this.deployment;
    if (store.fault !== StoreMode.None) return;
    const mode = this.plan.pick(MODES);
    const act = this.record(ActKind.Store, '', mode);
    store.fault = mode;
    await delay(this.faultMs());
    beforeEnd?.();
    store.fault = StoreMode.None;
    act.untilMs = performance.now();
  }

  private once(fault: StoreFault): void {
    const act = this.record(ActKind.Store, '', fault);
    act.untilMs = act.fromMs;
  }

  private faultMs(): number {
    return this.plan.nextMs(MIN_FAULT_MS, FAULT_SPREAD_MS);
  }
}
