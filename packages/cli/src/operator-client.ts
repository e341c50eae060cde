import { request } from 'undici';

const REQUEST_TIMEOUT_MS = 10_000;

export enum CliExitCode {
  Success = 0,
  /** The daemon refused the call, or a check found faults. */
  Refused = 1,
  Usage = 2,
  /** The daemon could not be reached. */
  Unreachable = 3,
}

/** Failure that ends the command with an exit code; its message names the remedy. */
export class CliError extends Error {
  override readonly name = 'CliError';

  constructor(
    message: string,
    readonly exitCode: CliExitCode,
  ) {
    super(message);
  }
}

/** HTTP response from the operators' port of a daemon. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** HTTP client of the operators' port of one daemon. */
export class OperatorClient {
  constructor(
    private readonly address: string,
    private readonly token: string,
  ) {}

  /** Returns the response whatever its status. Throws `CliError` where the daemon cannot be reached. */
  async call(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body?: string,
  ): Promise<OperatorResponse> {
    try {
      const response = await request(`http://${this.address}${path}`, {
        method,
        body,
        headers: { authorization: `Bearer ${this.token}` },
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      return { status: response.statusCode, body: await response.body.json() };
    } catch (error) {
      throw new CliError(
        `Daemon ${this.address} cannot be reached (${String(error)}). Check --address, or name another daemon.`,
        CliExitCode.Unreachable,
      );
    }
  }

  /** Returns the body of a successful response. Throws `CliError` for a status of 300 or above. */
  async callOrThrow(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const response = await this.call(method, path, body);
    if (response.status < 300) return response.body;
    throw new CliError(describeFailure(response), CliExitCode.Refused);
  }
}

/** Returns the message and the remedy that a failed response gives. */
export function describeFailure(response: OperatorResponse): string {
  const body = response.body as { message?: string; remedy?: string };
  const message =
    body.message ?? `The daemon responded with status ${response.status}.`;
  return `${message} ${body.remedy ?? ''}`.trim();
}
