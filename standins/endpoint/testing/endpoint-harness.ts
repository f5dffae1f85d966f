/**
 * Starts endpoints on free local ports, and clients of them, for tests.
 */
import {setTimeout as pause} from 'node:timers/promises';
import pg from 'pg';
import {DisposableStore} from '../../../src/common/lifecycle/disposable.js';
import {noop} from '../noop.js';
import {reportedParameters} from '../constants.js';
import {Endpoint} from '../endpoint.js';
import {settingsSchema, type EndpointSettingsInput} from '../settings.js';

/** Group, user and password of every endpoint that the harness starts. */
const access = {group: 'group', user: 'tester', password: 'secret'};

/** Starts endpoints and clients, and ends them when disposed. */
export class EndpointHarness {
	private readonly _owned = new DisposableStore();
	private readonly _clients: pg.Client[] = [];

	/** Starts an endpoint. */
	async endpoint(settings: Omit<EndpointSettingsInput, 'group'>): Promise<Endpoint> {
		const endpoint = this._owned.register(new Endpoint(settingsSchema.parse({...access, connectCostMs: 0, ...settings})));
		await endpoint.start();
		return endpoint;
	}

	/** Starts a primary `a` and replicas with the given names; resolves when they follow it. */
	async group(names: readonly string[], settings: Partial<EndpointSettingsInput> = {}): Promise<Endpoint[]> {
		const primary = await this.endpoint({...settings, name: 'a', initialPrimary: 'a'});
		const replicas = await Promise.all(names.map(async name => this.endpoint({
			...settings, name, initialPrimary: 'a', peers: [{name: 'a', host: '127.0.0.1', port: primary.port}],
		})));
		await waitUntil(() => replicas.every(({instance}) => instance.state.isStreaming));
		return [primary, ...replicas];
	}

	/** Connects a client; its application name determines its purpose. */
	async client(endpoint: Endpoint, appName = 'test', password = access.password): Promise<pg.Client> {
		const client = new pg.Client({
			host: '127.0.0.1', port: endpoint.port, user: access.user, password, database: access.group, application_name: appName, // eslint-disable-line @typescript-eslint/naming-convention -- the driver's name.
		});
		// In many tests the endpoint ends the connection, which the client reports as an error.
		client.on('error', noop);
		await client.connect();
		this._clients.push(client);
		return client;
	}

	async dispose(): Promise<void> {
		await Promise.all(this._clients.map(async client => client.end().catch(() => undefined)));
		this._owned.dispose();
	}
}

/** SQLSTATE or error code of a rejected promise; `done` if it resolves. */
export async function errorCodeOf(promise: Promise<unknown>): Promise<string> {
	try {
		await promise;
		return 'done';
	} catch (error) {
		return error instanceof Error && 'code' in error ? String(error.code) : String(error);
	}
}

/** Polls until a condition holds; only the timeout of the test limits it. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await pause(2);
	}
}

/** Process id and secret that a cancel request for a client must contain. */
export function cancelKeyOf(client: pg.Client): [number, number] {
	const {processID: processId, secretKey} = client as unknown as {processID: number; secretKey: number}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the driver's types leave them out.
	return [processId, secretKey];
}

/** Collects the positions that are reported to a client. */
export function positionsOf(client: pg.Client): string[] {
	const positions: string[] = [];
	const {connection} = client as unknown as {connection: NodeJS.EventEmitter}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the driver has no public way to parameters.
	connection.on('parameterStatus', ({parameterName, parameterValue}: {parameterName: string; parameterValue: string}) => {
		if (parameterName === reportedParameters.position) {
			positions.push(parameterValue);
		}
	});
	return positions;
}
