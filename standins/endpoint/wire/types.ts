/**
 * Types of the wire server.
 */
import type {SqlEngine} from '../sql/engine.js';
import type {SessionIdentity} from '../sql/session.js';
import type {StatementSlots} from './slots.js';
import type {ServiceTime} from './statement-runner.js';

/** Receives the encoded responses of a connection. */
export type ConnectionOutput = {
	/** Whether no bytes can be sent at present; omitted if that cannot happen. */
	readonly isFull?: boolean;
	write(bytes: Uint8Array): void;
	/** Ends the connection after everything that was written is sent. */
	end(): void;
};

/** Purpose of a connection: control commands, statements of an attached home, or statements of any other client. */
export type ConnectionPurpose = 'control' | 'work' | 'direct';

/** Options of one connection. */
export type ConnectionOptions = {
	readonly engine: SqlEngine;
	readonly slots: StatementSlots;
	readonly serviceTime: ServiceTime;
	readonly purpose: ConnectionPurpose;
	readonly identity: SessionIdentity;
	/** Secret that a cancel request must contain. */
	readonly secret: number;
};
