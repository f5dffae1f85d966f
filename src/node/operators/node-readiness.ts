/**
 * Whether the platform's balancer should send callers to this node.
 */
import {WakeableSleep} from '../../common/lifecycle/timing.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {
	Clock, Membership, Peers, Random,
} from '../../common/services/services.js';
import {readinessDefaults} from './constants.js';
import type {Readiness} from './types.js';

/** What the readiness follows. */
export type ReadinessServices = {
	readonly membership: Pick<Membership, 'self' | 'hosts'>;
	readonly peers: Pick<Peers, 'probe'>;
	readonly clock: Clock;
	readonly random: Random;
	/** Whether a configuration is in force on this node. */
	readonly isConfigured: () => boolean;
	/** Whether an instance of any group reported to this node not long ago. */
	readonly hasReachableInstance: () => boolean;
};

/**
 * Not ready before a configuration is in force, while the node drains, and while it reaches
 * neither an endpoint nor another node: then every statement would be refused here, and
 * another node may do better. A node that reaches anybody stays ready, because its
 * refusals tell callers more than a balancer without targets does.
 */
export class NodeReadiness implements Disposable {
	private readonly _services: ReadinessServices;
	private readonly _options: typeof readinessDefaults;
	private readonly _sleep: WakeableSleep;
	private _consecutiveFailures = 0;
	private _isDisposed = false;

	constructor(services: ReadinessServices, options: Partial<typeof readinessDefaults> = {}) {
		this._services = services;
		this._options = {...readinessDefaults, ...options};
		this._sleep = new WakeableSleep(services.clock);
	}

	/** The answer for the balancer. */
	get current(): Readiness {
		const {membership, isConfigured} = this._services;
		if (membership.self.isLeaving) {
			return {isReady: false, reason: 'draining'};
		}

		if (!isConfigured()) {
			return {isReady: false, reason: 'no configuration is in force yet'};
		}

		return this._consecutiveFailures >= this._options.missesToCutOff
			? {isReady: false, reason: 'cut off: neither an endpoint nor another node can be reached'}
			: {isReady: true, reason: 'serving'};
	}

	/** The task that looks for somebody who can be reached. */
	async run(): Promise<void> {
		while (!this._isDisposed) {
			await this.checkConnectivity();
			await this._sleep.wait(this._options.lookMs);
		}
	}

	/** Looks once. */
	async checkConnectivity(): Promise<void> {
		this._consecutiveFailures = await this._hasConnectivity() ? 0 : this._consecutiveFailures + 1;
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	/** Nodes are asked only when no endpoint is heard. A node that knows no other cannot be replaced by one. */
	private async _hasConnectivity(): Promise<boolean> {
		const {membership, peers, random, hasReachableInstance: hearsAnyInstance} = this._services;
		const others = membership.hosts().filter(({name}) => name !== membership.self.name);
		if (hearsAnyInstance() || others.length === 0) {
			return true;
		}

		for (let asked = 0; asked < this._options.nodesAsked; asked++) {
			const host = others[Math.floor(random.next() * others.length)];
			const answer = await peers.probe(host, this._options.probeTimeoutMs);
			if (answer.isRight()) {
				return true;
			}
		}

		return false;
	}
}
