/**
 * Opens a connection to an endpoint: TCP connect, start-up message, authentication, up to
 * the first ReadyForQuery. No part of a request is sent here, so every fault says that none
 * can have reached the endpoint (`mayHaveReached` is false).
 */
import {serialize} from 'pg-protocol';
import {Left, Right, type Either} from 'purify-ts';
import type {Clock, EndpointAddress, EndpointFault} from '../../common/services/services.js';
import {Authentication} from './authentication.js';
import {int32At} from './bytes.js';
import {backendTypes} from './constants.js';
import {FrameSocket} from './frame-socket.js';
import {
	describeType, framesIn, readError, readParameter,
} from './frames.js';
import {messageOf, ProtocolError} from './protocol-error.js';
import type {
	BackendKey, ConnectorOptions, FrameRange, StartedSession,
} from './types.js';

type StartUp = {
	readonly frames: FrameSocket;
	readonly authentication: Authentication;
	readonly parameters: Map<string, string>;
	backendKey: BackendKey | undefined;
	isReady: boolean;
};

type StartUpHandler = (startUp: StartUp, batch: Uint8Array, range: FrameRange) => void | Promise<void>;

/** The endpoint refused the connection with an ErrorResponse. */
class StartUpRefused extends Error {
	override readonly name = 'StartUpRefused';
	readonly sqlState: string;

	constructor(sqlState: string, message: string) {
		super(message);
		this.sqlState = sqlState;
	}
}

const handlers = new Map<number, StartUpHandler>([
	[backendTypes.authentication, async ({frames, authentication}, batch, {bodyStart, end}) => {
		const answer = await authentication.answer(batch.subarray(bodyStart, end));
		if (answer) {
			frames.write(answer);
		}
	}],
	[backendTypes.parameterStatus, (startUp, batch, {bodyStart, end}) => {
		const {name, value} = readParameter(batch, bodyStart, end);
		startUp.parameters.set(name, value);
	}],
	[backendTypes.backendKeyData, (startUp, batch, range) => {
		if (bodyBytes(range) !== 8) {
			throw new ProtocolError('backend key is malformed');
		}

		startUp.backendKey = {
			processId: int32At(batch, range.bodyStart),
			secretKey: int32At(batch, range.bodyStart + 4),
		};
	}],
	[backendTypes.errorResponse, (_startUp, batch, {bodyStart, end}) => {
		const {sqlState, message} = readError(batch, bodyStart, end);
		throw new StartUpRefused(sqlState, message);
	}],
	[backendTypes.noticeResponse, () => undefined],
	[backendTypes.readyForQuery, startUp => {
		startUp.isReady = true;
	}],
]);

/** Connects and starts a session within `connectTimeoutMs`; returns the session or a fault. */
export async function startSession(
	endpoint: EndpointAddress,
	appName: string,
	options: ConnectorOptions,
	clock: Clock,
): Promise<Either<EndpointFault, StartedSession>> {
	const socket = options.dial(endpoint);
	const frames = new FrameSocket(socket, options.maximumMessageBytes);
	const timer = clock.setTimer(options.connectTimeoutMs, () => {
		frames.destroy(`no session within ${options.connectTimeoutMs} ms`);
	});
	const startUp: StartUp = {
		frames, authentication: new Authentication(options), parameters: new Map(), backendKey: undefined, isReady: false,
	};
	try {
		// The socket buffers the message until it is connected.
		frames.write(serialize.startup({
			user: options.user,
			database: endpoint.group,
			// eslint-disable-next-line @typescript-eslint/naming-convention
			application_name: appName,
		}));
		await runStartUp(startUp);
		return Right({frames, parameters: startUp.parameters, backendKey: startUp.backendKey});
	} catch (error) {
		const message = messageOf(error);
		frames.destroy(message);
		const fault = {mayHaveReached: false, detail: message};
		return Left(error instanceof StartUpRefused ? {...fault, sqlState: error.sqlState} : fault);
	} finally {
		timer.dispose();
	}
}

async function runStartUp(startUp: StartUp): Promise<void> {
	while (!startUp.isReady) {
		const batch = await startUp.frames.read();
		if (!batch) {
			throw new ProtocolError(startUp.frames.closeDetail);
		}

		await handleBatch(startUp, batch);
	}
}

async function handleBatch(startUp: StartUp, batch: Uint8Array): Promise<void> {
	for (const range of framesIn(batch)) {
		const handler = handlers.get(range.type);
		if (!handler) {
			throw new ProtocolError(`${describeType(range.type)} during start-up`);
		}

		await handler(startUp, batch, range);
		if (startUp.isReady) {
			startUp.frames.unread(batch.subarray(range.end));
			return;
		}
	}
}

function bodyBytes(range: FrameRange): number {
	return range.end - range.bodyStart;
}
