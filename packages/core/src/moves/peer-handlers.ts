import type { Clock, PeerRegistry } from '../ports/index.js';
import type { MoveBoard } from './move-registry.js';
import {
  announceRecordMethod,
  exchangeRollbacksMethod,
  reportEvidenceMethod,
} from './peer-methods.js';

/** Registers the handlers for other daemons' calls about moves. */
export function answerMovePeers(
  registry: PeerRegistry,
  board: MoveBoard,
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
    return Promise.resolve({ brakes: [...board.brakes()] });
  });
  registry.handle(announceRecordMethod, ({ entry }) => {
    board.onEntry(entry, clock.nowMs());
    return Promise.resolve({});
  });
}
