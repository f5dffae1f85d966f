/**
 * Interfaces of a database group: its endpoints, connections to them, and control of its instances.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';

/** Address of an endpoint in the configuration in force. */
export type EndpointAddress = {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
};

export type InstanceRole = 'primary' | 'replica' | 'rebuilding';

/** State that an instance of a database group reports. */
export type InstanceState = {
	readonly role: InstanceRole;
	/** Highest term that the instance promised to follow; it refuses the log of every lower term. */
	readonly promisedTerm: number;
	/** Claim by which the promised term was raised; empty in the first term. */
	readonly claimId: string;
	/** End of its log; the instance would keep the entries up to here if it were promoted. */
	readonly received: LogPosition;
	/** Position that its reads see; equal to `received` on a primary. */
	readonly applied: LogPosition;
	/** Whether a replica's replication stream is alive; true on a primary. */
	readonly isStreaming: boolean;
};

/** Why an exchange with an endpoint failed. */
export type EndpointFault = {
	/** False only when no byte of the request can have reached the endpoint. */
	readonly mayHaveReached: boolean;
	readonly detail: string;
	/** SQLSTATE of the error, if the endpoint returned one. */
	readonly sqlState?: string;
};

/** Receives whole framed backend messages; resolves when the receiver can take more. */
export type AnswerSink = {
	push(frames: Uint8Array): void | Promise<void>;
};

export type TransactionStatus = 'idle' | 'open' | 'failed';

/** Result of one request cycle at an endpoint. */
export type ExchangeEnd = {
	readonly transactionStatus: TransactionStatus;
	/** Position that the endpoint reported as applied after the cycle. */
	readonly position: LogPosition;
	/** SQLSTATE of the first ErrorResponse of the cycle, if there was one. */
	readonly errorSqlState?: string;
};

/** One work connection to one endpoint. Only one exchange may be in flight. */
export type EndpointConnection = Disposable & {
	readonly onClose: Event<void>;
	/**
	 * Sends whole frontend messages that end in one ReadyForQuery; pushes whole backend
	 * messages up to, but without, that ReadyForQuery.
	 */
	exchange(frames: Uint8Array, sink: AnswerSink): Promise<Either<EndpointFault, ExchangeEnd>>;
	/** Asks the endpoint to cancel the statement that runs on this connection; best effort. */
	cancel(): void;
};

/** Answer of an instance to a control command. */
export type TermClaim = {
	readonly isAccepted: boolean;
	readonly state: InstanceState;
};

/** One control connection to one instance; its commands occupy no slot. */
export type InstanceControl = Disposable & {
	readonly onClose: Event<void>;
	/** Fires on every state report, requested or spontaneous; the instance coalesces spontaneous reports. */
	readonly onState: Event<InstanceState>;
	/** Requests the state; the instance determines it after the call. */
	readState(): Promise<Either<EndpointFault, InstanceState>>;
	/** Raises the promised term; accepted only if the term is higher, or equal with the same claim. */
	raiseTerm(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>>;
	/** Makes the instance primary of the term that it promised to this claim. */
	promote(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>>;
	/** Makes the instance follow the primary of a term that is at least the promised one. */
	follow(term: number, primary: EndpointAddress): Promise<Either<EndpointFault, TermClaim>>;
	/**
	 * Claims the instance's work connections for one home. The instance refuses work of any
	 * other home; with `isForced` it closes the other home's connections first.
	 */
	attach(homeId: string, isForced: boolean): Promise<Either<EndpointFault, {isAttached: boolean; holder: string}>>;
	/** Releases the claim of a home on the work connections. */
	detach(homeId: string): Promise<Either<EndpointFault, void>>;
};

/** Opens connections to endpoints. */
export type EndpointConnector = {
	connectWork(endpoint: EndpointAddress, homeId: string): Promise<Either<EndpointFault, EndpointConnection>>;
	connectControl(endpoint: EndpointAddress, observerId: string): Promise<Either<EndpointFault, InstanceControl>>;
};
