/**
 * What a database group offers: endpoints, connections, control of instances.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';

/** Where an endpoint is reached, as the configuration in force says. */
export type EndpointAddress = {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
};

export type InstanceRole = 'primary' | 'replica' | 'rebuilding';

/** What an instance of a database group says about itself. */
export type InstanceState = {
	readonly role: InstanceRole;
	/** Highest term it promised to follow; it refuses the log of every lower term. */
	readonly promisedTerm: number;
	/** Claim that the promised term was raised by; empty in the first term. */
	readonly claimId: string;
	/** End of its log: what it would keep through a promotion. */
	readonly received: LogPosition;
	/** What its reads see. Equal to `received` on a primary. */
	readonly applied: LogPosition;
	/** Whether a replica's replication stream is alive; true on a primary. */
	readonly isStreaming: boolean;
};

/** Why an exchange with an endpoint failed. */
export type EndpointFault = {
	/** False only when no byte of the request can have reached the endpoint. */
	readonly mayHaveReached: boolean;
	readonly detail: string;
	/** SQLSTATE when the endpoint refused in its own words. */
	readonly sqlState?: string;
};

/** Receives whole framed backend messages; resolves when the receiver can take more. */
export type AnswerSink = {
	push(frames: Uint8Array): void | Promise<void>;
};

export type TransactionStatus = 'idle' | 'open' | 'failed';

/** How one request cycle ended at an endpoint. */
export type ExchangeEnd = {
	readonly transactionStatus: TransactionStatus;
	/** The endpoint's applied position after the cycle, from its own report. */
	readonly position: LogPosition;
	/** SQLSTATE of the first ErrorResponse of the cycle, if there was one. */
	readonly errorSqlState?: string;
};

/** One work connection to one endpoint. One exchange at a time. */
export type EndpointConnection = Disposable & {
	readonly onClose: Event<void>;
	/**
	 * Sends whole frontend messages that end in one ReadyForQuery; pushes whole backend
	 * messages up to, but without, that ReadyForQuery.
	 */
	exchange(frames: Uint8Array, sink: AnswerSink): Promise<Either<EndpointFault, ExchangeEnd>>;
	/** Asks the endpoint to cancel what runs on this connection; best effort. */
	cancel(): void;
};

/** What a control order answered. */
export type TermClaim = {
	readonly isAccepted: boolean;
	readonly state: InstanceState;
};

/** One control connection to one instance, outside its slots. */
export type InstanceControl = Disposable & {
	readonly onClose: Event<void>;
	/** Fires on every report, also the spontaneous ones; coalesced by the instance. */
	readonly onState: Event<InstanceState>;
	/** Asks for the state; the answer was made after the call. */
	readState(): Promise<Either<EndpointFault, InstanceState>>;
	/** Raises the promised term; accepted only if higher, or the same with the same claim. */
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
	/** Gives the claim up. */
	detach(homeId: string): Promise<Either<EndpointFault, void>>;
};

/** Opens connections to endpoints. */
export type EndpointConnector = {
	connectWork(endpoint: EndpointAddress, homeId: string): Promise<Either<EndpointFault, EndpointConnection>>;
	connectControl(endpoint: EndpointAddress, observerId: string): Promise<Either<EndpointFault, InstanceControl>>;
};
