/**
 * Default options of the peer links, with the reasons for the values.
 */

/** Defaults of `PeerOptions`. */
export const peerDefaults = {
	/** Time limit for opening a link; the latency between availability zones is a few milliseconds. */
	openTimeoutMs: 500,
	/** A link is closed after it had nothing in progress for this long. */
	idleCloseMs: 30_000,
	/** Interval of liveness checks while requests are in progress; an idle link is not checked. */
	livenessTickMs: 200,
	/** Consecutive silent ticks after which the requesting side considers the peer lost: 0.8 to 1 s. */
	askerSilentTicks: 4,
	/** The same for the serving side, which waits longer because ending the link there rolls transactions back. */
	servedSilentTicks: 10,
	/** Maximum number of requests in progress on one link; further ones are refused at once. */
	maximumInProgress: 2048,
	/** Answer bytes of one request that may be in flight or unread: the initial credit of the serving side. */
	windowBytes: 256 * 1024,
	/** Largest part of a request or an answer in one envelope; bounds how long a small message waits behind a large one. */
	partBytes: 64 * 1024,
	/** No further envelopes are added to a gRPC message once it has this many bytes. */
	batchBytes: 64 * 1024,
	/** Largest gRPC message that is sent or accepted. */
	maximumMessageBytes: 16 * 1024 * 1024,
	/** Largest request, largest single message of an answer, and limit for all incomplete requests of a link together. */
	maximumFramesBytes: 64 * 1024 * 1024,
	/** Send-queue length of a link from which on announcements are dropped; they are only hints. */
	maximumAnnouncementsWaiting: 1024,
	/**
	 * Time reserved for the transfer of the answer: the home gets a deadline that is earlier by this much (at
	 * most by a tenth of the time left), so that its own refusal arrives before the requester times out.
	 */
	answerMarginMs: 5,
	/** Time limit for the answer to a cancelled request. */
	cancelAnswerMs: 2000,
	/** Initial reconnect backoff after a link could not be opened; doubles up to `maximumReopenDelayMs`. */
	firstReopenDelayMs: 50,
	maximumReopenDelayMs: 2000,
	/** Interval of HTTP/2 keepalive pings, which also detect a disconnected peer on an open link without requests. */
	keepaliveMs: 20_000,
	keepaliveTimeoutMs: 5000,
	/** HTTP/2 flow control window of a link; larger than the credit of a single request (`windowBytes`). */
	flowControlWindowBytes: 4 * 1024 * 1024,
};

/** Matches loopback addresses; links to them need no encryption, since their traffic does not leave the host. */
export const loopbackPattern = /^(?:127\.|::1$|localhost$)/v;
