/**
 * Opens connections to endpoints over the text protocol.
 */
import {connect, type Socket} from 'node:net';
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {withTimeout} from '../../common/lifecycle/timing.js';
import type {
	Clock, ConnectionFault, EndpointAnswer, EndpointErrorKind, LineConnection, LineConnector, LineWire, RegisteredEndpoint,
} from '../../common/services/services.js';
import type {LineOptions} from './constants.js';
import {TcpLineConnection} from './tcp-line-connection.js';

/** Connection faults by the error with which an endpoint answers the start-up message. */
const startUpFaults = new Map<string, ConnectionFault['kind']>([
	['tooManyConnections', 'tooManyConnections'],
	['wrongEndpoint', 'wrongEndpoint'],
	['busy', 'busy'],
] satisfies ReadonlyArray<[EndpointErrorKind, ConnectionFault['kind']]>);

/** Connects to an endpoint's address, and names in the start-up message which endpoint it expects there. */
export class TcpLineConnector implements LineConnector {
	private readonly _clock: Clock;
	private readonly _wire: LineWire;
	private readonly _user: string;
	private readonly _options: LineOptions;

	constructor(clock: Clock, wire: LineWire, user: string, options: LineOptions) {
		this._clock = clock;
		this._wire = wire;
		this._user = user;
		this._options = options;
	}

	async connect(endpoint: RegisteredEndpoint, organisation: string | undefined): Promise<Either<ConnectionFault, LineConnection>> {
		const socket = connect({
			host: endpoint.host,
			port: endpoint.port,
			noDelay: true,
			keepAlive: true,
			keepAliveInitialDelay: this._options.keepAliveMs,
		});
		const opened = await withTimeout(this._clock, this._start(socket, endpoint, organisation ?? this._user), this._options.connectTimeoutMs);
		if (!opened) {
			socket.destroy();
			return Left({kind: 'silent', detail: `no connection within ${this._options.connectTimeoutMs} ms`});
		}

		return opened;
	}

	private async _start(socket: Socket, endpoint: RegisteredEndpoint, user: string): Promise<Either<ConnectionFault, LineConnection>> {
		const fault = await waitForConnect(socket);
		if (fault) {
			return Left(fault);
		}

		const connection = new TcpLineConnection(socket, this._wire);
		const answer = await connection.startUp(this._wire.encodeStartUp(endpoint.service, user, endpoint.id));
		return answer
			.mapLeft(closed => this._startUpFault(closed))
			.chain(({error}) => {
				if (!error) {
					return Right(connection as LineConnection);
				}

				connection.dispose();
				return Left(faultOf(error));
			});
	}

	/** Reads the fault from the detail of a close: an endpoint may close right after its error line, which is then part of that detail. */
	private _startUpFault(closed: ConnectionFault): ConnectionFault {
		const [word] = closed.detail.split(':', 1);
		return {kind: startUpFaults.get(word) ?? closed.kind, detail: closed.detail};
	}
}

async function waitForConnect(socket: Socket): Promise<ConnectionFault | undefined> {
	return new Promise(resolve => {
		const onError = (error: NodeJS.ErrnoException): void => {
			resolve({kind: error.code === 'ECONNREFUSED' ? 'refused' : 'closed', detail: error.message});
		};

		socket.once('error', onError);
		socket.once('close', () => {
			resolve({kind: 'closed', detail: 'the connection was closed before it was established'});
		});
		socket.once('connect', () => {
			socket.off('error', onError);
			resolve(undefined);
		});
	});
}

function faultOf({kind, text}: NonNullable<EndpointAnswer['error']>): ConnectionFault {
	return {kind: startUpFaults.get(kind) ?? 'protocol', detail: `${kind}: ${text}`};
}
