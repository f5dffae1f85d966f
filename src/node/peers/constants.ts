/**
 * Options of the peer links with their defaults, and why.
 */

/** Defaults of `PeerOptions`. */
export const peerDefaults = {
	/** Time in which a link must have opened; zones are a few milliseconds apart. */
	openTimeoutMs: 500,
	/** A link with nothing in progress for this long is closed. */
	idleCloseMs: 30_000,
	/** Silence is looked at this often while requests are in progress, never while idle. */
	livenessTickMs: 200,
	/** Silent ticks after which the peer is taken for lost: 0.8 to 1 s. */
	askerSilentTicks: 4,
	/** The answering side waits longer, since giving up there rolls transactions back. */
	servedSilentTicks: 10,
	/** Requests of one link in progress at one time; more are refused at once. */
	maximumInProgress: 2048,
	/** Answer bytes of one request that may be on their way unread. */
	windowBytes: 256 * 1024,
	/** Largest piece of a request or an answer in one envelope; bounds what a small one waits behind. */
	partBytes: 64 * 1024,
	/** A gRPC message takes no more envelopes once it has this many bytes. */
	batchBytes: 64 * 1024,
	/** Largest gRPC message that is accepted. */
	maximumMessageBytes: 16 * 1024 * 1024,
	/** Largest request, and largest single message of an answer. */
	maximumFramesBytes: 64 * 1024 * 1024,
	/** Announcements that may wait for a slow link; more are dropped, as they are hints only. */
	maximumAnnouncementsWaiting: 1024,
	/** Part of the time left that the way of the answer may take, so that the home's own word arrives in time. */
	answerMarginMs: 5,
	/** How long the answer to a cancelled request is waited for. */
	cancelAnswerMs: 2000,
	/** First pause after a link could not be opened; doubles up to the largest. */
	firstReopenDelayMs: 50,
	maximumReopenDelayMs: 2000,
	/** HTTP/2 keepalive, which also notices a cut peer on a link that is open but has nothing in progress. */
	keepaliveMs: 20_000,
	keepaliveTimeoutMs: 5000,
	/** HTTP/2 flow control window of a link, above the credit that one request has. */
	flowControlWindowBytes: 4 * 1024 * 1024,
};

/** Address that needs no encryption, since nothing leaves the host. */
export const loopbackPattern = /^(?:127\.|::1$|localhost$)/v;
