/** Whether requests may still be sent to endpoints; the window of a stopping daemon closes. */
export interface DispatchWindow {
  /** Whether a request may be sent that lasts until `deadlineAtMs` at most. */
  isOpenUntil(deadlineAtMs: number): boolean;
}
