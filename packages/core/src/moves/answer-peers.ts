import type { Clock, PeerRegistry } from '../ports/index.js';
import type { MoveBoard } from './move-board.js';
import { brakesMethod, recordMethod, reportMethod } from './peer-methods.js';

/** Answers the other daemons' calls about moves from this daemon's board. */
export function answerMovePeers(
  registry: PeerRegistry,
  board: MoveBoard,
  clock: Clock,
): void {
  registry.handle(reportMethod, ({ recordVersion, report }) =>
    Promise.resolve({
      brake: board.onReport(report),
      entry: board.entryAfter(report.group, recordVersion),
    }),
  );
  registry.handle(brakesMethod, ({ brakes }) => {
    for (const brake of brakes) board.onBrake(brake);
    return Promise.resolve({ brakes: [...board.brakes()] });
  });
  registry.handle(recordMethod, ({ entry }) => {
    board.onEntry(entry, clock.nowMs());
    return Promise.resolve({});
  });
}
