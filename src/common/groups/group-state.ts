/**
 * The state of one group as this node knows it: its instances, its term and its primary.
 */
import {DisposableStore, type Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {
	EndpointAddress, GroupDefinition, GroupView, InstanceState, PrimaryAnnouncement,
} from '../services/services.js';
import {InstanceWatch} from './instance-watch.js';
import {isLeading, majorityOf, largestValueReachedBy} from './quorum.js';
import type {SafetyRules} from './safety-rules.js';
import type {GroupOptions, GroupServices, MonitorContext} from './types.js';

/** Watches the instances of one group. The known term never decreases. */
export class GroupState implements Disposable {
	readonly name: string;
	/** Fires when an instance has reported its state. */
	readonly onReport: Event<InstanceWatch>;
	/** Fires when a control connection to an instance was opened or lost, or an attempt to open one failed. */
	readonly onConnection: Event<InstanceWatch>;
	/** Fires when the primary of a higher term becomes known. */
	readonly onPrimary: Event<PrimaryAnnouncement>;

	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _rules: SafetyRules;
	private readonly _scope = new DisposableStore();
	private readonly _onReport = this._scope.register(new Emitter<InstanceWatch>());
	private readonly _onConnection = this._scope.register(new Emitter<InstanceWatch>());
	private readonly _onPrimary = this._scope.register(new Emitter<PrimaryAnnouncement>());
	private readonly _watches = new Map<string, InstanceWatch>();
	private _orderedWatches: readonly InstanceWatch[] = [];
	private _term = 0;
	private _primary = '';
	private _highestTerm = 0;
	private _highestTermSinceMs = 0;

	constructor(name: string, {services, options, rules}: Omit<MonitorContext, 'pause'>) {
		this.onReport = this._onReport.event;
		this.onConnection = this._onConnection.event;
		this.onPrimary = this._onPrimary.event;
		this.name = name;
		this._services = services;
		this._options = options;
		this._rules = rules;
	}

	/** Number of instances in the group's configuration. */
	get size(): number {
		return this._watches.size;
	}

	/** Number of instances that make a majority. */
	get majority(): number {
		return majorityOf(this._watches.size);
	}

	/** The instances, in the order of the configuration. */
	get watches(): readonly InstanceWatch[] {
		return this._orderedWatches;
	}

	/** Highest term whose primary is known; zero when none is. */
	get term(): number {
		return this._term;
	}

	/** Name of the endpoint that is the primary of that term; empty when none is known. */
	get primary(): string {
		return this._primary;
	}

	/** The primary's watch; undefined when no primary is known or it has left the group. */
	get primaryWatch(): InstanceWatch | undefined {
		return this._watches.get(this._primary);
	}

	/** Highest term seen, whether promised by an instance or announced. */
	get highestTerm(): number {
		return this._highestTerm;
	}

	/** Highest term such that a majority of the instances reports to have promised it or a higher one. */
	get majorityTerm(): number {
		return largestValueReachedBy(this.states().map(state => state.promisedTerm), this.majority);
	}

	/** When the highest term was first seen, in milliseconds on this node's clock. */
	get highestTermSinceMs(): number {
		return this._highestTermSinceMs;
	}

	/** Instances that are connected and have reported recently. */
	get reachable(): readonly InstanceWatch[] {
		return this.watches.filter(watch => watch.isReachable);
	}

	/** Last reported states of the instances that are connected. */
	states(): readonly InstanceState[] {
		return this.watches.flatMap(({state}) => state ?? []);
	}

	/** The watch of an endpoint; undefined when the endpoint is not in the group. */
	watch(endpoint: string): InstanceWatch | undefined {
		return this._watches.get(endpoint);
	}

	/** Whether the known primary, according to its own last report, still leads the known term. */
	isPrimaryLeading(): boolean {
		const state = this.primaryWatch?.state;
		return state !== undefined && isLeading(state) && state.promisedTerm === this._term;
	}

	/**
	 * Offset up to which a majority of the instances, all of which follow the term, holds its
	 * log; -1 when there is no such majority. The primary of the term counts as holding any
	 * offset, regardless of what it reports: it wrote the entry at that offset while it led the term, so
	 * if it promised a higher term later, the entry was already in its log when it did.
	 */
	majorityOffset(term: number): number {
		const offsets = this.watches.flatMap(({name, state}) => {
			const isAuthor = term === this._term && name === this._primary;
			return isAuthor ? Number.POSITIVE_INFINITY : (state && this._rules.heldOffset(state, term)) ?? [];
		});
		return largestValueReachedBy(offsets, this.majority, -1);
	}

	/** Applies the group's definition: adds, removes and replaces watches. */
	configure(definition: GroupDefinition | undefined): void {
		const wanted = new Map(definition?.endpoints.map(endpoint => [endpoint.name, endpoint]));
		for (const [name, watch] of this._watches) {
			const endpoint = wanted.get(name);
			if (!endpoint || !isSameAddress(endpoint, watch.endpoint)) {
				this._watches.delete(name);
				watch.dispose();
			}
		}

		for (const endpoint of wanted.values()) {
			if (!this._watches.has(endpoint.name)) {
				this._add(endpoint);
			}
		}

		this._orderedWatches = [...wanted.keys()].map(name => this._watches.get(name)!);
	}

	/** Records the primary of a term; ignored unless the term is higher than the known one. */
	learnPrimary(announcement: PrimaryAnnouncement): void {
		this.learnTerm(announcement.term);
		if (announcement.term <= this._term) {
			return;
		}

		this._term = announcement.term;
		this._primary = announcement.primary;
		for (const watch of this._watches.values()) {
			watch.checkAfterMs = this._checkAfterMs(watch.name);
		}

		this._services.log.event('primaryAdopted', announcement);
		this._onPrimary.fire(announcement);
	}

	/** Records that a term has been promised by some instance. */
	learnTerm(term: number): void {
		if (term > this._highestTerm) {
			this._highestTerm = term;
			this._highestTermSinceMs = this._services.clock.nowMs();
		}
	}

	/** Restarts the silence timers of all instances, as if each had just been heard from. */
	resetSilence(): void {
		for (const watch of this._watches.values()) {
			watch.resetSilence();
		}
	}

	/** A snapshot of the group as this node knows it. */
	view(): GroupView {
		return {
			group: this.name,
			term: this._term,
			primary: this._primary,
			instances: this.watches.map(watch => watch.view()),
		};
	}

	dispose(): void {
		this._scope.dispose();
		for (const watch of this._watches.values()) {
			watch.dispose();
		}
	}

	private _add(endpoint: EndpointAddress): void {
		const watch = new InstanceWatch(endpoint, this._services, this._options);
		watch.checkAfterMs = this._checkAfterMs(watch.name);
		watch.onReport(state => {
			this._handleReport(watch, state);
		});
		watch.onConnection(() => {
			this._onConnection.fire(watch);
		});
		this._watches.set(endpoint.name, watch);
		watch.start();
	}

	private _handleReport(watch: InstanceWatch, state: InstanceState): void {
		this.learnTerm(state.promisedTerm);
		if (isLeading(state)) {
			this.learnPrimary({group: this.name, term: state.promisedTerm, primary: watch.name});
		}

		this._onReport.fire(watch);
	}

	private _checkAfterMs(endpoint: string): number {
		return endpoint === this._primary ? this._options.primaryCheckMs : this._options.replicaCheckMs;
	}
}

function isSameAddress(a: EndpointAddress, b: EndpointAddress): boolean {
	return a.host === b.host && a.port === b.port && a.availabilityZone === b.availabilityZone;
}
