/**
 * One attempt to open a control connection to an instance, and what a failure says about the instance.
 */
import type {Either} from 'purify-ts';
import type {EndpointAddress, EndpointFault, InstanceControl} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {GroupOptions, GroupServices} from './types.js';

/** Why an attempt failed. */
export type ConnectFailure
	/** The host answered that no process listens on the port. */
	= | 'refused'
	/** The endpoint has no free connection, so it is alive. */
		| 'exhausted'
	/** No answer arrived within the timeout. */
		| 'silent'
	/** The endpoint refused the connection with some other error. */
		| 'declined';

/** The result of an attempt: either a connection or the reason why it failed. */
export type ConnectOutcome = {
	readonly control?: InstanceControl;
	readonly failure?: ConnectFailure;
};

/** SQLSTATE of an endpoint whose connections are all in use. */
const tooManyConnections = '53300';

/** Opens a control connection within `connectTimeoutMs`; one that opens later is closed at once. */
export async function connectControl(
	endpoint: EndpointAddress,
	{clock, connector, membership}: Pick<GroupServices, 'clock' | 'connector' | 'membership'>,
	options: GroupOptions,
): Promise<ConnectOutcome> {
	const startedMs = clock.nowMs();
	const connecting = connector.connectControl(endpoint, membership.self.name);
	const connected = await withTimeout(clock, connecting, options.connectTimeoutMs);
	if (!connected) {
		void closeLate(connecting);
		return {failure: 'silent'};
	}

	const isQuick = clock.nowMs() - startedMs <= options.refusedWithinMs;
	return connected
		.map((control): ConnectOutcome => ({control}))
		.mapLeft((fault): ConnectOutcome => ({failure: failureOf(fault, isQuick)}))
		.extract();
}

/** Classifies a fault: without an error of the endpoint, a quick failure means that the connection was refused, and a late one that no answer came. */
function failureOf({sqlState}: EndpointFault, isQuick: boolean): ConnectFailure {
	if (sqlState === undefined) {
		return isQuick ? 'refused' : 'silent';
	}

	return sqlState === tooManyConnections ? 'exhausted' : 'declined';
}

async function closeLate(connecting: Promise<Either<EndpointFault, InstanceControl>>): Promise<void> {
	const connected = await connecting;
	connected.ifRight(control => {
		control.dispose();
	});
}
