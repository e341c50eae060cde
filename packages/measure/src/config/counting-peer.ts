import type { Address, Peer, PeerMethod } from '@skylarkreach/core/ports';

/** Bytes of the request line and headers that the daemon's HTTP client sends. */
const REQUEST_OVERHEAD_BYTES = 230;
/** Bytes of the status line and headers that the daemon's peer server sends. */
const RESPONSE_OVERHEAD_BYTES = 90;

/** Traffic of each daemon, sent and received, in bytes of HTTP. */
export class TrafficCount {
  private readonly bytesByAddress = new Map<Address, number>();

  add(address: Address, bytes: number): void {
    this.bytesByAddress.set(address, this.bytesOf(address) + bytes);
  }

  bytesOf(address: Address): number {
    return this.bytesByAddress.get(address) ?? 0;
  }

  reset(): void {
    this.bytesByAddress.clear();
  }
}

/** Counts the bytes that calls would take as JSON-RPC over HTTP, at both ends. */
export class CountingPeer implements Peer {
  constructor(
    private readonly inner: Peer,
    private readonly from: Address,
    private readonly traffic: TrafficCount,
  ) {}

  async call<Params, Result>(
    address: Address,
    method: PeerMethod<Params, Result>,
    params: Params,
    deadlineAtMs: number,
  ): Promise<Result> {
    const request = { jsonrpc: '2.0', id: 1_000, method: method.name, params };
    this.count(address, request, REQUEST_OVERHEAD_BYTES);
    const result = await this.inner.call(address, method, params, deadlineAtMs);
    const response = { jsonrpc: '2.0', id: 1_000, result };
    this.count(address, response, RESPONSE_OVERHEAD_BYTES);
    return result;
  }

  private count(address: Address, message: unknown, overhead: number): void {
    const bytes = Buffer.byteLength(JSON.stringify(message)) + overhead;
    this.traffic.add(this.from, bytes);
    this.traffic.add(address, bytes);
  }
}
