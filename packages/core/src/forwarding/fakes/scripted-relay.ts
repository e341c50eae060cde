import type { Clock } from '../../ports/index.js';
import type {
  EndpointRecord,
  EndpointResponse,
  PoolReservation,
  RelayedRequest,
  RequestRelay,
} from '../index.js';
import { sampleEndpoint } from './samples.js';
import type { ScriptedResponse } from './scripted-upstream.js';
import { ScriptedUpstream } from './scripted-upstream.js';

/** Fake relay of a daemon whose links can be cut, through peers that respond as scripted. */
export class ScriptedRelay implements RequestRelay {
  /** Requests by the peer that they were sent through. */
  readonly sent: { readonly peer: string; readonly lastEventId?: string }[] =
    [];
  /** Data centres that the last reservation was restricted to. */
  allowedDataCentres: ReadonlySet<string> | undefined;
  private isCutOff = false;
  private readonly listeners = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    private readonly responses: ReadonlyMap<string, ScriptedResponse>,
  ) {}

  /** Cuts the links of the daemon, where connections in use fall silent unless stated otherwise. */
  cut(areSilent = true): void {
    this.isCutOff = true;
    if (!areSilent) return;
    for (const listener of this.listeners) listener();
  }

  restore(): void {
    this.isCutOff = false;
  }

  isUnreachable(): boolean {
    return this.isCutOff;
  }

  reserve(
    _group: string,
    excludedIds: ReadonlySet<string>,
    _nowMs?: number,
    allowedDataCentres?: ReadonlySet<string>,
  ): PoolReservation | undefined {
    this.allowedDataCentres = allowedDataCentres;
    if (!this.isCutOff) return undefined;
    const id = [...this.responses.keys()].find(each => !excludedIds.has(each));
    if (id === undefined) return undefined;
    return {
      endpoint: sampleEndpoint(id),
      isPeer: true,
      recordFirstEvent: () => undefined,
      recordLoad: () => undefined,
      recordStatements: () => undefined,
      recordLeaving: () => undefined,
      recordPause: () => undefined,
      recordCold: () => undefined,
      recordSilence: () => undefined,
      release: () => undefined,
    };
  }

  send(
    endpoint: EndpointRecord,
    { lastEventId, mayWrite, request }: RelayedRequest,
    onEndpoint: (endpointId: string) => void,
    signal: AbortSignal,
  ): Promise<EndpointResponse> {
    const { id } = endpoint;
    this.sent.push({
      peer: id,
      ...(lastEventId !== undefined && { lastEventId }),
    });
    onEndpoint(`behind-${id}`);
    const upstream = new ScriptedUpstream(
      [this.responses.get(id) ?? {}],
      this.clock,
    );
    const isEndpointUsable = () => true;
    const call = {
      ...request,
      endpoint,
      isEndpointUsable,
      ...(mayWrite && { mayWrite }),
    };
    return upstream.send(call, signal);
  }

  onSilence(_group: string, listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }
}
