/**
 * A node of the test cluster that serves callers over connections in memory, until it stops.
 */
import {Drain} from '../../src/node/direct/drain.js';
import {lineDefaults} from '../../src/node/line/constants.js';
import {LineServer} from '../../src/node/line/line-server.js';
import {createMemoryStreams} from '../../src/node/line/testing/memory-streams.js';
import type {CallerStream} from '../../src/node/line/types.js';
import type {LineTestCluster, LineTestNode} from './line-test-cluster.js';
import {StreamCaller} from './stream-caller.js';

/** Time that a stop may take, as the users' platform sets it. */
export const graceMs = 6000;

/** Adds callers to a node and stops it. */
export class ServedNode {
	readonly node: LineTestNode;
	private readonly _cluster: LineTestCluster;
	private readonly _callers: LineServer;
	private readonly _streams: CallerStream[] = [];

	constructor(node: LineTestNode, cluster: LineTestCluster) {
		this.node = node;
		this._cluster = cluster;
		this._callers = new LineServer(node.sessionServices, lineDefaults);
	}

	/** Connects a caller, which has sent nothing yet. */
	connect(): StreamCaller {
		const {caller, node} = createMemoryStreams();
		this._streams.push(node);
		this._callers.serve(node);
		return new StreamCaller(caller);
	}

	/** Connects a caller and begins its session. */
	async open(database: string): Promise<StreamCaller> {
		const caller = this.connect();
		await this._cluster.clock.advanceUntil(caller.startUp(database));
		return caller;
	}

	/** Stops the node as a signal does; resolves when its process has ended. */
	async stop(): Promise<void> {
		const {nodes} = this._cluster;
		const {node} = this;
		const drain = new Drain({
			...node.sessionServices,
			graceMs,
			callers: this._callers,
			leave() {
				const {name, incarnation} = node.self;
				for (const {requests} of nodes.filter(other => other !== node)) {
					requests.onNotice({kind: 'left', name, incarnation});
				}
			},
			refuseForwarded() {
				node.forwarded.refuseWork();
			},
			async awaitPeersIdle(timeoutMs) {
				await node.forwarded.awaitIdle(timeoutMs);
			},
		});
		await drain.run();
		this._callers.dispose();
		for (const stream of this._streams) {
			stream.destroy();
		}

		node.forwarded.dispose();
		nodes.splice(nodes.indexOf(node), 1);
		node.dispose();
	}
}
