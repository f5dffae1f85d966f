/**
 * The part of pg's SCRAM-SHA-256 that is used here; pg brings no types for it.
 */
declare module 'pg/lib/crypto/sasl.js' {
	/** One SCRAM exchange; `response` is what to send next. */
	export type SaslSession = {
		readonly mechanism: string;
		readonly response: string;
	};

	const sasl: {
		startSession(mechanisms: readonly string[]): SaslSession;
		continueSession(session: SaslSession, password: string, serverData: string): Promise<void>;
		finalizeSession(session: SaslSession, serverData: string): void;
	};
	export default sasl;
}
