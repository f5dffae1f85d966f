/**
 * Opens work and control connections to endpoints over the PostgreSQL v3 protocol.
 */
import {connect} from 'node:net';
import {serialize} from 'pg-protocol';
import {Left, Right, type Either} from 'purify-ts';
import type {
	Clock, EndpointAddress, EndpointConnection, EndpointConnector, EndpointFault, InstanceControl,
} from '../../common/services/services.js';
import {connectorDefaults, controlPrefix, workPrefix} from './constants.js';
import {PgEndpointConnection} from './pg-endpoint-connection.js';
import {PgInstanceControl} from './pg-instance-control.js';
import {messageOf} from './protocol-error.js';
import {startSession} from './start-up.js';
import type {
	BackendKey, ByteSocket, ConnectorOptions, StartedSession,
} from './types.js';

/** Opens work and control connections with one set of credentials. */
export class PgEndpointConnector implements EndpointConnector {
	private readonly _clock: Clock;
	private readonly _options: ConnectorOptions;

	constructor(clock: Clock, options: Pick<ConnectorOptions, 'user' | 'password'> & Partial<ConnectorOptions>) {
		this._clock = clock;
		this._options = {dial, ...connectorDefaults, ...options};
	}

	async connectWork(endpoint: EndpointAddress, homeId: string): Promise<Either<EndpointFault, EndpointConnection>> {
		const started = await startSession(endpoint, workPrefix + homeId, this._options, this._clock);
		return started.chain(session => createOrFault(session, () =>
			new PgEndpointConnection(session, isStillWanted => {
				this._sendCancel(endpoint, session.backendKey, isStillWanted);
			})));
	}

	async connectControl(endpoint: EndpointAddress, observerId: string): Promise<Either<EndpointFault, InstanceControl>> {
		const started = await startSession(endpoint, controlPrefix + observerId, this._options, this._clock);
		return started.chain(session => createOrFault(session, () =>
			new PgInstanceControl(session, this._clock, this._options.controlTimeoutMs)));
	}

	/** Sends a CancelRequest over a separate connection, unless the request cycle has ended by the time it is open. */
	private _sendCancel(endpoint: EndpointAddress, key: BackendKey | undefined, isStillWanted: () => boolean): void {
		if (!key) {
			return;
		}

		const socket = this._options.dial(endpoint);
		const timer = this._clock.setTimer(this._options.connectTimeoutMs, () => {
			socket.destroy();
		});
		socket.on('connect', () => {
			if (isStillWanted()) {
				socket.end(serialize.cancel(key.processId, key.secretKey));
			} else {
				socket.destroy();
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			timer.dispose();
		});
		socket.resume();
	}
}

/** Connects over TCP. */
function dial({host, port}: EndpointAddress): ByteSocket {
	return connect({host, port});
}

function createOrFault<T>(session: StartedSession, create: () => T): Either<EndpointFault, T> {
	try {
		return Right(create());
	} catch (error) {
		const message = messageOf(error);
		session.frames.destroy(message);
		return Left({mayHaveReached: false, detail: message});
	}
}
