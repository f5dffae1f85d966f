/**
 * Types for the part of pg's SCRAM-SHA-256 implementation that is used here; pg ships none.
 */
declare module 'pg/lib/crypto/sasl.js' {
	/** One SCRAM exchange; `response` is the next message to send. */
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
