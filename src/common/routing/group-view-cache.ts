/**
 * The cached views of the groups that this node routes to.
 *
 * Views are filled on demand and corrected by the answers and refusals of homes; they are not
 * broadcast to all nodes. A wrong view costs only a refusal and a detour, because the home of
 * the endpoint checks everything that correctness depends on.
 */
import type {ViewCorrection} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import {laterPosition, zeroPosition} from '../positions/log-position.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {Clock, GroupView, PrimaryAnnouncement} from '../services/services.js';

/** The cached view of one endpoint. */
export type CachedEndpointView = {
	/** Latest position that the endpoint's reads are known to include. */
	applied: LogPosition;
	/** Time until which the endpoint is not chosen as a replica, on the node's clock. */
	avoidedUntilMs: number;
	/** Requests from this node that the endpoint has not answered yet. */
	inProgress: number;
	/** Node that serves the endpoint according to the last correction; undefined while the rendezvous home is used. */
	homeNode: string | undefined;
};

/** The cached view of one group. */
export type CachedGroupView = {
	term: number;
	/** Name of the primary; empty when none is known. */
	primary: string;
	/** Term whose primary did not serve as primary; announcements of it are ignored until `rejectedUntilMs`. */
	rejectedTerm: number;
	rejectedUntilMs: number;
	readonly endpoints: Map<string, CachedEndpointView>;
};

/** Caches the views of the groups that are in use. */
export class GroupViewCache {
	/** Fires with the group's name when its cached primary changes. */
	readonly onPrimary: Event<string>;

	private readonly _groups = new Map<string, CachedGroupView>();
	private readonly _onPrimary = new Emitter<string>();
	private readonly _clock: Clock;

	constructor(clock: Clock) {
		this._clock = clock;
		this.onPrimary = this._onPrimary.event;
	}

	/** The cached view of a group; an empty one is created when nothing is known yet. */
	group(name: string): CachedGroupView {
		let view = this._groups.get(name);
		if (!view) {
			view = {
				term: 0,
				primary: '',
				rejectedTerm: 0,
				rejectedUntilMs: 0,
				endpoints: new Map(),
			};
			this._groups.set(name, view);
		}

		return view;
	}

	/** The cached view of an endpoint; an empty one is created when nothing is known yet. */
	endpoint(group: string, name: string): CachedEndpointView {
		const {endpoints} = this.group(group);
		let view = endpoints.get(name);
		if (!view) {
			view = {
				applied: zeroPosition,
				avoidedUntilMs: 0,
				inProgress: 0,
				homeNode: undefined,
			};
			endpoints.set(name, view);
		}

		return view;
	}

	/** Updates the primary of a group; an announcement of an older term is ignored. */
	learnPrimary({group, term, primary}: PrimaryAnnouncement): void {
		const view = this.group(group);
		const isNewer = term > view.term || (term === view.term && view.primary === '');
		const isRejected = term <= view.rejectedTerm && this._clock.nowMs() < view.rejectedUntilMs;
		if (!isNewer || isRejected) {
			return;
		}

		view.term = term;
		view.primary = primary;
		this._onPrimary.fire(group);
	}

	/** Applies the correction that a home sent with its answer or refusal. */
	learnCorrection(group: string, requestedEndpoint: string, correction: ViewCorrection | undefined): void {
		if (!correction) {
			return;
		}

		if (correction.term !== undefined && correction.primary) {
			this.learnPrimary({group, term: correction.term, primary: correction.primary});
		}

		if (correction.homeNode) {
			this.endpoint(group, requestedEndpoint).homeNode = correction.homeNode;
		}

		for (const {endpoint, position} of correction.applied ?? []) {
			this.learnApplied(group, endpoint, position);
		}
	}

	/** Updates the position that an endpoint's reads are known to include; it never moves back. */
	learnApplied(group: string, endpoint: string, position: LogPosition): void {
		const view = this.endpoint(group, endpoint);
		view.applied = laterPosition(view.applied, position);
	}

	/** Applies a home's complete view of a group. */
	learnView(view: GroupView): void {
		if (view.primary) {
			this.learnPrimary({group: view.group, term: view.term, primary: view.primary});
		}

		for (const {endpoint, state} of view.instances) {
			if (state) {
				this.learnApplied(view.group, endpoint, state.applied);
			}
		}
	}

	/**
	 * Records that the cached primary did not serve as primary. For `durationMs`, announcements
	 * of the same or an older term are ignored, so that stale views of other nodes do not lead
	 * back to it immediately.
	 */
	rejectPrimary(group: string, primary: string, durationMs: number): void {
		const view = this.group(group);
		if (view.primary !== primary) {
			return;
		}

		view.primary = '';
		view.rejectedTerm = view.term;
		view.rejectedUntilMs = this._clock.nowMs() + durationMs;
	}

	/** Excludes an endpoint from the choice of replicas for `durationMs`. */
	avoid(group: string, endpoint: string, durationMs: number): void {
		this.endpoint(group, endpoint).avoidedUntilMs = this._clock.nowMs() + durationMs;
	}

	/** Removes the views of groups that are not among `names`, those of the configuration. */
	retain(names: ReadonlySet<string>): void {
		for (const name of this._groups.keys()) {
			if (!names.has(name)) {
				this._groups.delete(name);
			}
		}
	}
}
