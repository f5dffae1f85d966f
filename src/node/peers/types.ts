/**
 * Types shared by the modules of the peer link.
 */
import type {
	Invariants, Clock, Log, Membership, Metrics,
} from '../../common/services/services.js';
import type {peerDefaults} from './constants.js';
import type {Envelope} from './generated/quetzalstream/peer.js';

/** Options of the peer links; names carry the units, `peerDefaults` explains the values. */
export type PeerOptions = typeof peerDefaults;

/** Mutual TLS of the links, in PEM: both sides present a certificate issued by the authority. */
export type PeerTls = {
	readonly key: string;
	readonly certificate: string;
	readonly authority: string;
	/** Name in the peers' certificates, if it differs from their address. */
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

/** The part of a link that its pending requests use. */
export type LinkContext = {
	readonly services: PeerServices;
	readonly options: PeerOptions;
	send(requestId: number, body: Body): void;
	/** Removes the request from the link's table of pending requests; later answers to it count as late. */
	removeRequest(requestId: number): void;
	/** Ends the link because of a protocol violation by the peer. */
	fail(detail: string): void;
};

/** The body of an envelope; `$case` is the discriminant. */
export type Body = NonNullable<Envelope['body']>;

/** Body type of one kind. */
export type BodyOf<K extends Body['$case']> = Extract<Body, {$case: K}>;

/** Names of the kinds of body. */
export type BodyKind = Body['$case'];

/** A source of envelopes to send; the writer calls `take` again as long as `hasMore` is true. */
export type EnvelopeSource = {
	/** Whether `take` would return another envelope now. */
	readonly hasMore: boolean;
	/** Returns the next envelope, or undefined if there is nothing left to send. */
	take(): Envelope | undefined;
};

/** The part of a gRPC stream that the writer uses. */
export type BatchStream = {
	/** Returns false if the stream's buffer is full until the next `drain` event. */
	write(batch: {envelopes: Envelope[]}): boolean;
};
