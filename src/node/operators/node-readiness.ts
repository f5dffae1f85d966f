/**
 * Whether the platform's load balancer should send callers to this node.
 */
import {WakeableSleep} from '../../common/lifecycle/timing.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {
	Clock, Membership, Peers, Random,
} from '../../common/services/services.js';
import {readinessDefaults} from './constants.js';
import type {Readiness} from './types.js';

/** What the readiness is determined from. */
export type ReadinessServices = {
	readonly membership: Pick<Membership, 'self' | 'hosts'>;
	readonly peers: Pick<Peers, 'probe'>;
	readonly clock: Clock;
	readonly random: Random;
	/** Whether a configuration is in force on this node. */
	readonly isConfigured: () => boolean;
	/** Whether an instance of any group reported to this node recently. */
	readonly hasReachableInstance: () => boolean;
};

/**
 * Determines the readiness of the node. It is not ready before a configuration is in force,
 * while it drains, and while it reaches neither an endpoint nor another node: it would then
 * refuse every statement, and another node may be able to serve it. A node that reaches any
 * endpoint or node stays ready, because its refusals tell callers more than a load balancer
 * without targets does.
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

	/** The readiness as the load balancer gets it. */
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

	/** Checks the connectivity at intervals until disposed. */
	async run(): Promise<void> {
		while (!this._isDisposed) {
			await this.checkConnectivity();
			await this._sleep.wait(this._options.lookMs);
		}
	}

	/** Checks the connectivity once. */
	async checkConnectivity(): Promise<void> {
		this._consecutiveFailures = await this._hasConnectivity() ? 0 : this._consecutiveFailures + 1;
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	/**
	 * Probes other nodes only if no endpoint reported recently. A node that knows no other node
	 * counts as connected, because no other could serve its callers.
	 */
	private async _hasConnectivity(): Promise<boolean> {
		const {membership, peers, random, hasReachableInstance} = this._services;
		const others = membership.hosts().filter(({name}) => name !== membership.self.name);
		if (hasReachableInstance() || others.length === 0) {
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
