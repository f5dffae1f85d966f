/**
 * What this node believes about the groups it routes to.
 *
 * Views are filled on demand and corrected by answers; nothing is broadcast. A wrong view
 * costs a refusal and a detour, because the home checks everything that matters.
 */
import type {ViewCorrection} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import {laterPosition, zeroPosition} from '../positions/log-position.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {Clock, GroupView, PrimaryAnnouncement} from '../services/services.js';

/** What is believed about one endpoint. */
export type CachedEndpointView = {
	/** Position its reads were last known to include. */
	applied: LogPosition;
	/** Until when it is passed over, on the node's clock. */
	avoidedUntilMs: number;
	/** Requests from this node that it has not answered yet. */
	inProgress: number;
	/** Node that said it serves the endpoint, where that differs from the rendezvous home. */
	homeNode: string | undefined;
};

/** What is believed about one group. */
export type CachedGroupView = {
	term: number;
	/** Name of the primary; empty when none is known. */
	primary: string;
	/** Term whose primary turned out not to serve, and until when that is remembered. */
	rejectedTerm: number;
	rejectedUntilMs: number;
	readonly endpoints: Map<string, CachedEndpointView>;
};

/** Beliefs about groups, kept for those in use. */
export class GroupViewCache {
	/** Fires with the group's name when its believed primary changes. */
	readonly onPrimary: Event<string>;

	private readonly _groups = new Map<string, CachedGroupView>();
	private readonly _onPrimary = new Emitter<string>();
	private readonly _clock: Clock;

	constructor(clock: Clock) {
		this._clock = clock;
		this.onPrimary = this._onPrimary.event;
	}

	/** The belief about a group; an empty one when nothing is known yet. */
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

	/** The belief about an endpoint. */
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

	/** Takes in who is primary; an older term changes nothing. */
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

	/** Takes in what a home said beside its answer or refusal. */
	learnCorrection(group: string, asked: string, correction: ViewCorrection | undefined): void {
		if (!correction) {
			return;
		}

		if (correction.term !== undefined && correction.primary) {
			this.learnPrimary({group, term: correction.term, primary: correction.primary});
		}

		if (correction.homeNode) {
			this.endpoint(group, asked).homeNode = correction.homeNode;
		}

		for (const {endpoint, position} of correction.applied ?? []) {
			this.learnApplied(group, endpoint, position);
		}
	}

	/** Takes in a position that an endpoint's reads include. */
	learnApplied(group: string, endpoint: string, position: LogPosition): void {
		const view = this.endpoint(group, endpoint);
		view.applied = laterPosition(view.applied, position);
	}

	/** Takes in a home's whole view of a group. */
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
	 * Notes that the believed primary did not serve as one. For a while the same term is not
	 * believed again, so that stale views of others do not lead back to it at once.
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

	/** Passes over an endpoint for a while. */
	avoid(group: string, endpoint: string, durationMs: number): void {
		this.endpoint(group, endpoint).avoidedUntilMs = this._clock.nowMs() + durationMs;
	}

	/** Forgets groups that the configuration no longer has. */
	retain(names: ReadonlySet<string>): void {
		for (const name of this._groups.keys()) {
			if (!names.has(name)) {
				this._groups.delete(name);
			}
		}
	}
}
