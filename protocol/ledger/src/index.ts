export * from './ledger_codec.js';
export * from './ledger_link.js';
export * from './ledger_observer.js';
export * from './ledger_update.js';
export type {PeerAddress} from './peer_address.js';
