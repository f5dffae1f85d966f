/**
 * Opens the connections of the demo's callers to the nodes of a system.
 */
import type {DevelopmentSystem} from './development-system.js';
import {ProxyClient} from './proxy-client.js';

/** Connections that are all closed together by `end`. */
export class CallerPool {
	private readonly _system: DevelopmentSystem;
	private readonly _clients: ProxyClient[] = [];

	constructor(system: DevelopmentSystem) {
		this._system = system;
	}

	/** Connects to a group through a node, as a user of the deployment; an unknown user gets the first user's credentials. */
	async connect(node: string, group: string, user: string): Promise<ProxyClient> {
		const {host, callersPort} = this._system.nodeAddresses(node);
		const credentials = this._system.deployment.callers.find(caller => caller.user === user);
		return this._open(new ProxyClient({host, port: callersPort}, group, credentials ?? this._system.deployment.callers[0]));
	}

	/** Connects directly to an endpoint, for comparison. */
	async connectDirectly(endpoint: string, group: string): Promise<ProxyClient> {
		return this._open(new ProxyClient(this._system.endpointAddresses(endpoint), group, this._system.deployment.endpoint));
	}

	async end(): Promise<void> {
		await Promise.all(this._clients.splice(0).map(async client => client.end()));
	}

	private async _open(client: ProxyClient): Promise<ProxyClient> {
		this._clients.push(client);
		await client.connect();
		return client;
	}
}
