/**
 * The state of one work connection, derived from its bytes at the endpoint.
 */
import type {ConnectionOutput} from '../../standins/endpoint/wire/connection.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {StartUpMessage} from './start-up-message.js';

const terminateCode = 0x58; // X
const readyCode = 0x5A; // Z
const idleStatus = 0x49; // I

/** A request cycle that arrived at an endpoint. */
export type ArrivedCycle = {
	readonly endpoint: string;
	/** The process that sent it. */
	readonly sender: SimulatedProcess;
	readonly sentMs: number;
	/** Whether the connection had a transaction open. */
	readonly isInTransaction: boolean;
	/** Number of request cycles in progress at the endpoint, including this one. */
	readonly inProgress: number;
};

/** Notified of what happens at the endpoints of a world. */
export type EndpointObserver = {
	onCycle(cycle: ArrivedCycle): void;
	/** A connection was refused because the endpoint had its maximum number of connections. */
	onFull(endpoint: string, startUp: StartUpMessage): void;
};

/** Tracks requests and transactions of one work connection. */
export class WorkWire {
	private _isBusy = false;
	private _isInTransaction = false;

	/** Whether a request cycle is in progress. */
	get isBusy(): boolean {
		return this._isBusy;
	}

	get isInTransaction(): boolean {
		return this._isInTransaction;
	}

	/** Tracks bytes that the client sent, and returns whether a request cycle began with them. */
	trackRequest(bytes: Uint8Array): boolean {
		const isBeginning = !this._isBusy && bytes[0] !== terminateCode;
		this._isBusy ||= isBeginning;
		return isBeginning;
	}

	/** Tracks bytes of an answer, which must be whole messages; the last one may end the request cycle. */
	trackAnswer(bytes: Uint8Array): void {
		if (bytes.at(-6) === readyCode) {
			this._isBusy = false;
			this._isInTransaction = bytes.at(-1) !== idleStatus;
		}
	}
}

/** The output of a connection, with its answers tracked. */
export function trackAnswers(output: ConnectionOutput, wire: WorkWire): ConnectionOutput {
	return {
		get isFull() {
			return output.isFull;
		},
		write(bytes) {
			wire.trackAnswer(bytes);
			output.write(bytes);
		},
		end() {
			output.end();
		},
	};
}
