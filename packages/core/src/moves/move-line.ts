import { z } from 'zod';

/** A move as an operator writes it. */
export interface MoveRequest {
  readonly group: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Kinds that move; undefined where all kinds of the group do. */
  readonly kinds?: readonly string[];
  readonly deadlineAtMs: number;
  readonly reason: string;
}

/** The line of a move cannot be read; the message names the remedy. */
export class MoveLineError extends Error {
  override readonly name = 'MoveLineError';
}

const FORM =
  'group=GROUP from=VERSION to=VERSION [kinds=KIND,KIND] deadline=2030-01-31T09:30:00Z # who asked, why';

const fieldsSchema = z.strictObject({
  group: z.string().min(1),
  from: z.string().min(1),
  to: z.string().min(1),
  kinds: z.string().min(1).optional(),
  deadline: z.iso.datetime({ offset: true }),
});

/** Reads the line of a move. Throws `MoveLineError`. */
export function parseMoveLine(line: string): MoveRequest {
  const [body = '', ...comment] = line.split(/\s#/);
  const reason = comment.join(' #').trim();
  if (!/^[^,]+,.*\S/.test(reason)) {
    throw new MoveLineError(
      `The line does not say who asked for the move and why. Write ${FORM}.`,
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
      `Field ${field} is wrong: ${issue?.message ?? ''}. Write ${FORM}.`,
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
