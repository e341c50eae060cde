import { request } from 'undici';

const TIMEOUT_MS = 10_000;

export enum CliExitCode {
  Success = 0,
  /** The call was refused or a check found faults. */
  Refused = 1,
  Usage = 2,
  /** The daemon could not be reached. */
  Unreachable = 3,
}

/** A failure that ends the command; its message names the remedy. */
export class CliError extends Error {
  override readonly name = 'CliError';

  constructor(
    message: string,
    readonly exitCode: CliExitCode,
  ) {
    super(message);
  }
}

/** Answer of a daemon's operators' port. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls the operators' port of one daemon. */
export class OperatorClient {
  constructor(
    private readonly address: string,
    private readonly token: string,
  ) {}

  async call(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body?: string,
  ): Promise<OperatorAnswer> {
    try {
      const response = await request(`http://${this.address}${path}`, {
        method,
        body,
        headers: { authorization: `Bearer ${this.token}` },
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      return { status: response.statusCode, body: await response.body.json() };
    } catch (error) {
      throw new CliError(
        `Daemon ${this.address} cannot be reached (${String(error)}). Check --address, or name another daemon.`,
        CliExitCode.Unreachable,
      );
    }
  }

  /** Calls and returns the body; throws `CliError` where the answer is a failure. */
  async callOk(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const answer = await this.call(method, path, body);
    if (answer.status < 300) return answer.body;
    throw new CliError(failureText(answer), CliExitCode.Refused);
  }
}

/** Message and remedy of a failed call. */
export function failureText(answer: OperatorAnswer): string {
  const body = answer.body as { message?: string; remedy?: string };
  const message = body.message ?? `The daemon answered ${answer.status}.`;
  return `${message} ${body.remedy ?? ''}`.trim();
}
