/**
 * What this node knows about one group: its instances and who leads it.
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

/** Follows the instances of one group. The term known never goes back. */
export class GroupState implements Disposable {
	readonly name: string;
	/** Fires when an instance reported its state. */
	readonly onReport: Event<InstanceWatch>;
	/** Fires when a connection to an instance was made, lost or refused. */
	readonly onConnection: Event<InstanceWatch>;
	/** Fires when a primary of a higher term became known. */
	readonly onPrimary: Event<PrimaryAnnouncement>;

	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _rules: SafetyRules;
	private readonly _scope = new DisposableStore();
	private readonly _onReport = this._scope.register(new Emitter<InstanceWatch>());
	private readonly _onConnection = this._scope.register(new Emitter<InstanceWatch>());
	private readonly _onPrimary = this._scope.register(new Emitter<PrimaryAnnouncement>());
	private readonly _watches = new Map<string, InstanceWatch>();
	private _list: readonly InstanceWatch[] = [];
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

	/** Instances of the group as configured. */
	get size(): number {
		return this._watches.size;
	}

	/** Number of instances that make a majority. */
	get majority(): number {
		return majorityOf(this._watches.size);
	}

	/** The instances, in the order of the configuration. */
	get watches(): readonly InstanceWatch[] {
		return this._list;
	}

	/** Highest term with a known primary; zero without one. */
	get term(): number {
		return this._term;
	}

	/** Name of the primary of that term; empty without one. */
	get primary(): string {
		return this._primary;
	}

	/** The primary's watch; undefined when there is none or it left the group. */
	get primaryWatch(): InstanceWatch | undefined {
		return this._watches.get(this._primary);
	}

	/** Highest term seen, promised by any instance or announced. */
	get highestTerm(): number {
		return this._highestTerm;
	}

	/** Highest term that a majority of the instances reports to have promised, or a higher one. */
	get majorityTerm(): number {
		return largestValueReachedBy(this.states().map(state => state.promisedTerm), this.majority);
	}

	/** When that term was first seen. */
	get highestTermSinceMs(): number {
		return this._highestTermSinceMs;
	}

	/** Instances whose reports are recent. */
	get reachable(): readonly InstanceWatch[] {
		return this.watches.filter(watch => watch.isReachable);
	}

	/** States of the instances that are connected. */
	states(): readonly InstanceState[] {
		return this.watches.flatMap(({state}) => state ?? []);
	}

	/** The watch of an endpoint. */
	watch(endpoint: string): InstanceWatch | undefined {
		return this._watches.get(endpoint);
	}

	/** Whether the known primary, by its own last report, still leads the known term. */
	isPrimaryLeading(): boolean {
		const state = this.primaryWatch?.state;
		return state !== undefined && isLeading(state) && state.promisedTerm === this._term;
	}

	/**
	 * Offset up to which a majority that follows the term holds its log. The primary of the
	 * term counts by the position itself: it wrote that place of its log while it led, so
	 * whatever it promised later, it promised with that place in its log.
	 */
	majorityOffset(term: number): number {
		const offsets = this.watches.flatMap(({name, state}) => {
			const isAuthor = term === this._term && name === this._primary;
			return isAuthor ? Number.POSITIVE_INFINITY : (state && this._rules.heldOffset(state, term)) ?? [];
		});
		return largestValueReachedBy(offsets, this.majority, -1);
	}

	/** Follows the configuration: adds, drops and replaces watches. */
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

		this._list = [...wanted.keys()].map(name => this._watches.get(name)!);
	}

	/** Takes in that a term has a primary; an older term changes nothing. */
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

	/** Takes in that a term has been promised somewhere. */
	learnTerm(term: number): void {
		if (term > this._highestTerm) {
			this._highestTerm = term;
			this._highestTermSinceMs = this._services.clock.nowMs();
		}
	}

	/** Counts everybody's silence from now on. */
	resetSilence(): void {
		for (const watch of this._watches.values()) {
			watch.resetSilence();
		}
	}

	/** The group as this node knows it. */
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
