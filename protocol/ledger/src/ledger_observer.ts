import type {LedgerUpdate} from './ledger_update.js';

/** Callbacks of a ledger link. */
export interface LedgerObserver {
  /**
   * Called for each update that a peer sends, or a gateway of another group about
   * an upstream that all groups share.
   */
  onUpdate(
    instance: string,
    update: LedgerUpdate,
    isFromOtherGroup: boolean,
  ): void;
  /** Called when a peer timed out or restarted, or a gateway of another group is gone. */
  onPeerLost(instance: string): void;
}
