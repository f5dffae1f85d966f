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

/** What the client needs of its endpoint. */
export type ReplicationClientOptions = {
	readonly group: string;
	readonly user: string;
	readonly password: string | undefined;
	/** Name of the instance at an address, as far as it is known. */
	readonly nameOf: (address: PrimaryAddress) => string | undefined;
	/** Whether a fault keeps it from connecting at all. */
	readonly isCrashed: () => boolean;
	readonly isHeld: (peer: string | undefined) => boolean;
};

/** One connection for each stream. */
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

	/** Looks again which connections are held. */
	refreshHeldConnections(): void {
		for (const gate of this._gates) {
			gate.refresh();
		}
	}

	/** Drops all streams; the instance opens new ones when it can. */
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
