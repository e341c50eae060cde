import type { Clock, PeerRegistry } from '../ports/index.js';
import type { MoveRegistry } from './move-registry.js';
import {
  announceRecordMethod,
  exchangeRollbacksMethod,
  reportEvidenceMethod,
} from './peer-methods.js';

/** Registers the handlers for other daemons' calls about moves. */
export function registerMovePeerHandlers(
  registry: PeerRegistry,
  board: MoveRegistry,
  clock: Clock,
): void {
  registry.handle(reportEvidenceMethod, ({ recordVersion, report }) =>
    Promise.resolve({
      brake: board.applyReport(report),
      entry: board.entryAfter(report.group, recordVersion),
    }),
  );
  registry.handle(exchangeRollbacksMethod, ({ brakes }) => {
    for (const decision of brakes) board.applyRollback(decision);
    return Promise.resolve({ brakes: [...board.rollbackDecisions()] });
  });
  registry.handle(announceRecordMethod, ({ entry }) => {
    board.applyEntry(entry, clock.nowMs());
    return Promise.resolve({});
  });
}
