import { z } from 'zod';

/** Move as requested by an operator. */
export interface MoveRequest {
  readonly group: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Request kinds to move; undefined for all kinds of the group. */
  readonly kinds?: readonly string[];
  readonly deadlineAtMs: number;
  readonly reason: string;
}

/** Error for a move line that cannot be parsed; the message names the remedy. */
export class MoveLineError extends Error {
  override readonly name = 'MoveLineError';
}

const EXPECTED_FORMAT =
  'group=GROUP from=VERSION to=VERSION [kinds=KIND,KIND] deadline=2030-01-31T09:30:00Z # who asked, why';

const fieldsSchema = z.strictObject({
  group: z.string().min(1),
  from: z.string().min(1),
  to: z.string().min(1),
  kinds: z.string().min(1).optional(),
  deadline: z.iso.datetime({ offset: true }),
});

/** Parses the line in which an operator requests a move. Throws `MoveLineError`. */
export function parseMoveLine(line: string): MoveRequest {
  const [body = '', ...comment] = line.split(/\s#/);
  const reason = comment.join(' #').trim();
  if (!/^[^,]+,.*\S/.test(reason)) {
    throw new MoveLineError(
      `The line does not say who requested the move and why. Write ${EXPECTED_FORMAT}.`,
    );
  }
  const fields = Object.fromEntries(
    body
      .trim()
      .split(/\s+/)
      .map(field => splitField(field)),
  );
  const parsed = fieldsSchema.safeParse(fields);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const field = issue?.path.join('.') ?? '';
    throw new MoveLineError(
      `Field ${field} is wrong: ${issue?.message ?? ''}. Write ${EXPECTED_FORMAT}.`,
    );
  }
  const { deadline, from, group, kinds, to } = parsed.data;
  return {
    group,
    fromVersion: from,
    toVersion: to,
    kinds: kinds?.split(','),
    deadlineAtMs: Date.parse(deadline),
    reason,
  };
}

function splitField(field: string): [string, string] {
  const [name = '', ...rest] = field.split('=');
  return [name, rest.join('=')];
}
