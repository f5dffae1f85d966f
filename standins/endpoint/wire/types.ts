/**
 * Types of the wire server.
 */
import type {SqlEngine} from '../sql/engine.js';
import type {SessionIdentity} from '../sql/session.js';
import type {StatementSlots} from './slots.js';
import type {ServiceTime} from './statement-runner.js';

/** Where answers go. */
export type ConnectionOutput = {
	/** Whether nothing can leave for now; left out where that does not happen. */
	readonly isFull?: boolean;
	write(bytes: Uint8Array): void;
	/** Ends the connection after what was written. */
	end(): void;
};

/** What a connection is for. */
export type ConnectionPurpose = 'control' | 'work' | 'direct';

/** What one connection works with. */
export type ConnectionOptions = {
	readonly engine: SqlEngine;
	readonly slots: StatementSlots;
	readonly serviceTime: ServiceTime;
	readonly purpose: ConnectionPurpose;
	readonly identity: SessionIdentity;
	/** Number that a cancel request must bring. */
	readonly secret: number;
};
