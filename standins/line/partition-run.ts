/**
 * A partition that isolates a zone with a primary, a replica and some nodes from everything else and from
 * the store, and statements through one node on each side.
 */
import {tables} from '../../platform/names.js';
import {cutConnections, databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';

/** Interval at which endpoints renew their registrations. */
export const heartbeatMs = 1200;

/** Time from the last renewal of a registration until it lapses. */
export const lifetimeMs = 3 * heartbeatMs;

/** Time from the last renewal of the registrations to the beginning of a partition, and from there until those inside lapse. */
export const renewedBeforeMs = 900;
export const lapseAfterMs = lifetimeMs - renewedBeforeMs;

/** Pause between two rounds of statements, in virtual milliseconds. */
const roundMs = 20;

/** Endpoints on the inside of the partition, the primary and a replica, and the one outside. */
const endpointsInside = ['i-1', 'i-2'];
const endpointOutside = 'i-3';

/** Runs statements before and during one partition. */
export class PartitionRun {
	readonly cluster = new LineTestCluster();
	/** Successful answers of the old primary, through a node inside, after another endpoint had been promoted. */
	readonly wrongAnswers: string[] = [];
	/** Whether the endpoint outside runs and registers. */
	private _isOutsideUp = true;
	/** When the partition began, on the virtual clock; infinite before. */
	private _cutAtMs = Number.POSITIVE_INFINITY;
	private _renewedAtMs = Number.NEGATIVE_INFINITY;
	private _rounds = 0;

	/** Starts nodes, writes through each of them, and lets some time pass in which registrations are renewed. */
	async start(nodes: number, registrationLifetimeMs?: number): Promise<void> {
		const {cluster} = this;
		cluster.registrationLifetimeMs = registrationLifetimeMs;
		await cluster.start(nodes);
		for (const node of cluster.nodes) {
			await node.session(databases.primary).send('WRITE x 0');
		}

		await this.runFor(heartbeatMs + renewedBeforeMs);
	}

	get isReplaced(): boolean {
		return this.cluster.group.instance(endpointOutside).isPrimary;
	}

	nodesOutside(): LineTestNode[] {
		return this.cluster.nodes.filter(node => !this._isInside(node));
	}

	/** Crashes the endpoint outside; its registration lapses after a time in milliseconds. */
	async loseOutside(lapseMs: number): Promise<void> {
		this._isOutsideUp = false;
		this.cluster.group.instance(endpointOutside).isUp = false;
		await this.runFor(lapseMs);
		this.cluster.store.put(tables.instances, endpointOutside, undefined);
	}

	/** Starts the endpoint outside again with its log; it registers at once. */
	returnOutside(): void {
		this._isOutsideUp = true;
		this.cluster.group.rejoin(endpointOutside);
		this.cluster.registerInstance(2);
	}

	begin(): void {
		const {cluster} = this;
		this._cutAtMs = cluster.clock.nowMs();
		for (const node of cluster.nodes) {
			this.isolate(node);
		}

		for (const id of endpointsInside) {
			cluster.group.instance(id).missesPromotions = true;
		}

		cluster.group.instance(endpointOutside).isReplicationBlocked = true;
	}

	/** Isolates a node from what is on the other side, and if it is inside, from the store. */
	isolate(node: LineTestNode): void {
		const isInside = this._isInside(node);
		cutConnections(node, isInside ? [endpointOutside] : endpointsInside);
		node.isStoreUnreachable = isInside;
		node.losesPendingAnswers = true;
		for (const other of this.cluster.nodes.filter(found => this._isInside(found) !== isInside)) {
			node.unreachablePeers.add(other.self.name);
		}
	}

	/** Sends statements through one node on each side, and renews the registrations of the endpoints that reach the store. */
	async runFor(durationMs: number): Promise<void> {
		const {clock} = this.cluster;
		const endMs = clock.nowMs() + durationMs;
		while (clock.nowMs() < endMs) {
			this._renew();
			await this._sendRound();
			await clock.advance(roundMs);
		}
	}

	dispose(): void {
		this.cluster.dispose();
	}

	private _isInside({self}: LineTestNode): boolean {
		return self.availabilityZone === 'a';
	}

	private _renew(): void {
		const {cluster} = this;
		const nowMs = cluster.clock.nowMs();
		const isCut = nowMs >= this._cutAtMs;
		if (nowMs - this._renewedAtMs >= heartbeatMs) {
			this._renewedAtMs = nowMs;
			for (const index of [...isCut ? [] : [0, 1], ...this._isOutsideUp ? [2] : []]) {
				cluster.registerInstance(index);
			}
		}

		if (nowMs - this._cutAtMs >= lapseAfterMs) {
			for (const id of endpointsInside) {
				cluster.store.put(tables.instances, id, undefined);
			}
		}
	}

	private async _sendRound(): Promise<void> {
		const {cluster} = this;
		this._rounds += 1;
		const wasReplaced = this.isReplaced;
		const inside = cluster.nodes.find(node => this._isInside(node))!;
		const [outside] = this.nodesOutside();
		const answers = await cluster.clock.advanceUntil(Promise.all([
			inside.session(databases.primary).start(`WRITE old ${this._rounds}`),
			inside.session(databases.primary).start('READ old'),
			outside.session(databases.primary).start(`WRITE new ${this._rounds}`),
		]));
		if (wasReplaced) {
			this.wrongAnswers.push(...answers.slice(0, 2).filter(answer => answer.includes('COMPLETE i-1')));
		}
	}
}
