/**
 * Opens replication streams to other instances over the wire.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import {Socket} from 'node:net';
import pg from 'pg';
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import {appNames} from '../constants.js';
import type {
	PrimaryAddress, ReplicationConnector, StreamReceiver, StreamRequest,
} from '../types.js';
import {GatedSocket} from './gated-socket.js';
import {decodeMessage, startReplication} from './replication-codec.js';

/** What the client needs from its endpoint. */
export type ReplicationClientOptions = {
	readonly group: string;
	readonly user: string;
	readonly password: string | undefined;
	/** Name of the instance at an address; undefined if it is unknown. */
	readonly nameOf: (address: PrimaryAddress) => string | undefined;
	/** Whether the endpoint is crashed or disposed, so that it must not connect. */
	readonly isCrashed: () => boolean;
	readonly isHeld: (peer: string | undefined) => boolean;
};

/** Opens one connection for each stream. */
export class ReplicationClient implements ReplicationConnector, Disposable {
	private readonly _options: ReplicationClientOptions;
	private readonly _gates = new Set<GatedSocket>();

	constructor(options: ReplicationClientOptions) {
		this._options = options;
	}

	connect(primary: PrimaryAddress, request: StreamRequest, receiver: StreamReceiver): Disposable {
		const socket = new Socket();
		const gate = new GatedSocket(socket, peer => this._options.isHeld(peer));
		gate.peer = this._options.nameOf(primary);
		gate.refresh();
		this._gates.add(gate);
		socket.once('close', () => {
			this._gates.delete(gate);
			receiver.onEnd('the connection ended');
		});
		if (this._options.isCrashed()) {
			gate.dispose();
		} else {
			void this._run(gate, primary, request, receiver);
		}

		return gate;
	}

	/** Holds or releases the connections according to the active faults. */
	refreshHeldConnections(): void {
		for (const gate of this._gates) {
			gate.refresh();
		}
	}

	/** Closes all streams; the instance retries them. */
	closeAll(): void {
		for (const gate of this._gates) {
			gate.dispose();
		}
	}

	dispose(): void {
		this.closeAll();
	}

	private async _run(gate: GatedSocket, primary: PrimaryAddress, request: StreamRequest, receiver: StreamReceiver): Promise<void> {
		const {user, password, group} = this._options;
		const client = new pg.Client({
			host: primary.host, port: primary.port, user, password, database: group, application_name: appNames.replication, stream: () => gate.socket,
		});
		client.on('error', () => {
			gate.dispose();
		});
		try {
			await gate.whenReleased();
			await client.connect();
			const query = client.query(new pg.Query(startReplication + JSON.stringify(request)));
			query.on('row', (row: {message: string}) => {
				receiver.receive(decodeMessage(row.message));
			});
			query.on('error', () => {
				gate.dispose();
			});
			query.on('end', () => {
				gate.dispose();
			});
		} catch {
			gate.dispose();
		}
	}
}
