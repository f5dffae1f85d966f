/**
 * Collects views of all groups: this node's own if it follows the group, otherwise that of a home.
 */
import type {
	Clock, Configuration, GroupDefinition, GroupView, Host, Membership, Peers,
} from '../../common/services/services.js';
import {forEachConcurrently} from '../for-each-concurrently.js';
import {statusDefaults} from './constants.js';
import {CoalescedRefresh} from './coalesced-refresh.js';

/** What the collector needs from the rest of the node. */
export type GroupViewCollectorServices = {
	readonly configuration: Pick<Configuration, 'groups'>;
	readonly membership: Pick<Membership, 'self' | 'homeOf'>;
	readonly peers: Pick<Peers, 'groupView'>;
	readonly clock: Clock;
	/** The view of a group that this node follows itself. */
	readonly ownView: (group: string) => GroupView | undefined;
};

type ReceivedView = {readonly view: GroupView; readonly atMs: number};

/** Asks homes for the views of groups that this node does not follow, with limited concurrency. */
export class GroupViewCollector {
	private readonly _services: GroupViewCollectorServices;
	private readonly _options: typeof statusDefaults;
	private readonly _refresh: CoalescedRefresh;
	private readonly _receivedViews = new Map<string, ReceivedView>();

	constructor(services: GroupViewCollectorServices, options: Partial<typeof statusDefaults> = {}) {
		this._services = services;
		this._options = {...statusDefaults, ...options};
		this._refresh = new CoalescedRefresh(services.clock, this._options.keepMs, async () => this._requestAll());
	}

	/** Resolves once the view of every group that this node does not follow was requested. */
	async refresh(): Promise<void> {
		return this._refresh.run();
	}

	/** The newest view of a group; undefined if none was received recently. */
	view(group: string): GroupView | undefined {
		const own = this._services.ownView(group);
		if (own) {
			return own;
		}

		const heard = this._receivedViews.get(group);
		const isRecent = heard !== undefined && this._services.clock.nowMs() - heard.atMs < this._options.forgetMs;
		return isRecent ? heard.view : undefined;
	}

	private async _requestAll(): Promise<void> {
		const groups = this._services.configuration.groups();
		const names = new Set(groups.map(({name}) => name));
		for (const name of this._receivedViews.keys()) {
			if (!names.has(name)) {
				this._receivedViews.delete(name);
			}
		}

		const others = groups.filter(({name}) => this._services.ownView(name) === undefined);
		await forEachConcurrently(others, this._options.groupsAtOnce, async group => this._request(group));
	}

	private async _request(group: GroupDefinition): Promise<void> {
		const {peers, clock} = this._services;
		for (const home of this._homesOf(group)) {
			const answer = await peers.groupView(home, group.name, this._options.groupViewTimeoutMs);
			const view = answer.toMaybe().extract();
			// A node that does not follow the group answers too, without instances.
			if (view && view.instances.length > 0) {
				this._receivedViews.set(group.name, {view, atMs: clock.nowMs()});
				return;
			}
		}
	}

	private _homesOf({endpoints}: GroupDefinition): readonly Host[] {
		const {membership} = this._services;
		const homes = new Map(endpoints.flatMap(endpoint => {
			const home = membership.homeOf(endpoint);
			return home && home.name !== membership.self.name ? [[home.name, home] as const] : [];
		}));
		return [...homes.values()].slice(0, this._options.homesAsked);
	}
}
