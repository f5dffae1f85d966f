/**
 * Types that the parts of the peer link share.
 */
import type {
	Invariants, Clock, Log, Membership, Metrics,
} from '../../common/services/services.js';
import type {peerDefaults} from './constants.js';
import type {Envelope} from './generated/quetzalstream/peer.js';

/** Options of the peer links; units are in the names, reasons in `peerDefaults`. */
export type PeerOptions = typeof peerDefaults;

/** Mutual TLS of the links: both sides show a certificate of the authority. PEM. */
export type PeerTls = {
	readonly key: string;
	readonly certificate: string;
	readonly authority: string;
	/** Name that peers' certificates carry, where that is not their address. */
	readonly serverName?: string;
};

/** Services that the links use. */
export type PeerServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly membership: Membership;
};

/** A link as the requests on it see it. */
export type LinkContext = {
	readonly services: PeerServices;
	readonly options: PeerOptions;
	send(requestId: number, body: Body): void;
	/** Takes the request out of the link's book: from now on answers to it are late. */
	removeRequest(requestId: number): void;
	/** Ends the link, because the peer broke the protocol. */
	fail(detail: string): void;
};

/** One body of an envelope, told apart by `$case`. */
export type Body = NonNullable<Envelope['body']>;

/** The body of one kind. */
export type BodyOf<K extends Body['$case']> = Extract<Body, {$case: K}>;

/** Names of the kinds of body. */
export type BodyKind = Body['$case'];

/** Something that has envelopes to send; asked again as long as it has more. */
export type EnvelopeSource = {
	/** Whether `take` would give another envelope now. */
	readonly hasMore: boolean;
	/** The next envelope, or undefined when there is nothing to send any more. */
	take(): Envelope | undefined;
};

/** A gRPC stream as the writer needs it. */
export type BatchStream = {
	/** False when the stream is full until the next `drain`. */
	write(batch: {envelopes: Envelope[]}): boolean;
};
