/**
 * One attempt to connect to an instance, and what its failure says about the instance.
 */
import type {Either} from 'purify-ts';
import type {EndpointAddress, EndpointFault, InstanceControl} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {GroupOptions, GroupServices} from './types.js';

/** How an attempt failed. */
export type ConnectFailure
	/** The host answered that nobody listens. */
	= | 'refused'
	/** The endpoint has no connection left: it is alive. */
		| 'exhausted'
	/** Nothing came back in time. */
		| 'silent'
	/** The endpoint refused in its own words. */
		| 'declined';

/** How an attempt ended. */
export type ConnectOutcome = {
	readonly control?: InstanceControl;
	readonly failure?: ConnectFailure;
};

/** SQLSTATE of an endpoint whose connections are all taken. */
const tooManyConnections = '53300';

/** Opens a control connection within the time-out. One that is made later is closed again. */
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

/** A refusal comes back at once; a connection that breaks off later met silence. */
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
