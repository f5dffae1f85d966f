/**
 * The homes of this node: one for each endpoint that rendezvous hashing assigns to it.
 */
import type {Either} from 'purify-ts';
import {Left} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import type {
	AnswerSink, EndpointDefinition, Groups, HomeEnd, HomeRequest, Homes,
} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {EndpointAssignment, DrainBounds} from './endpoint-home.js';
import {EndpointHome} from './endpoint-home.js';
import type {HomeContext} from './types.js';

/** The services that the home service uses. */
export type HomeServiceServices = HomeContext & {
	readonly groups: Groups;
};

type ServedEndpoint = {
	readonly home: EndpointHome;
	/** Timer that runs while the endpoint's home is another node that has not requested the endpoint yet. */
	moveTimer: Disposable | undefined;
};

/** Keeps the homes of this node consistent with membership and configuration. */
export class HomeService implements Homes {
	private readonly _services: HomeServiceServices;
	private readonly _homeId: string;
	private readonly _owned = new DisposableStore();
	private readonly _served = new Map<string, ServedEndpoint>();
	/** Cooldown timers of endpoints assigned to this node that another node has just requested; no home is started for them meanwhile. */
	private readonly _cooldowns = new Map<string, Disposable>();
	private _isDraining = false;

	constructor(services: HomeServiceServices) {
		this._services = services;
		const {membership, configuration} = services;
		this._homeId = `${membership.self.name}/${membership.self.incarnation}`;
		this._owned.register(membership.onChange(() => {
			this._reconcile();
		}));
		this._owned.register(configuration.onChange(() => {
			this._reconcile();
		}));
		this._reconcile();
	}

	served(): readonly string[] {
		return [...this._served].filter(([, served]) => served.home.isAttached).map(([name]) => name);
	}

	async execute(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>> {
		const served = this._served.get(request.endpoint);
		if (served?.home.definition.group === request.group) {
			return served.home.execute(request, sink, signal);
		}

		const {membership} = this._services;
		const definition = this._definition(request.group, request.endpoint);
		const home = definition && membership.homeOf(definition)?.name;
		const homeNode = home === membership.self.name ? undefined : home;
		return Left(new Refusal('notHome', request.endpoint, {correction: {homeNode}}));
	}

	release(group: string, endpoint: string, sessionId: string): void {
		this._served.get(endpoint)?.home.release(sessionId);
	}

	onPeerLost(nodeName: string): void {
		for (const {home} of this._served.values()) {
			home.releaseAll(`${nodeName}/`);
		}
	}

	async handOver(endpoint: string): Promise<void> {
		if (this._served.has(endpoint) && this._ownAssignments().has(endpoint)) {
			this._startCooldown(endpoint);
		}

		await this._drainHome(endpoint, this._handOverBounds());
	}

	async drain(boundMs: number): Promise<void> {
		const {clock, options, invariants} = this._services;
		const transactionMs = boundMs * options.drainTransactionShare;
		const homes = [...this._served.values()].map(({home}) => home);
		this._isDraining = true;
		const drains = [...this._served.keys()].map(async endpoint => this._drainHome(endpoint, {boundMs, transactionMs}));
		// A hand-over that is already in progress has its own bounds, which may be longer.
		await withTimeout(clock, Promise.all(drains), boundMs);
		const interruptedCount = homes.reduce((count, home) => count + home.runningCount, 0);
		invariants.check('gracefulShutdown', interruptedCount === 0, () => `${interruptedCount} requests still ran after ${boundMs} ms`);
	}

	dispose(): void {
		this._owned.dispose();
		for (const {home} of this._served.values()) {
			home.dispose();
		}

		this._served.clear();
	}

	/** Starts homes for newly assigned endpoints, and updates or drains the existing ones. */
	private _reconcile(): void {
		const assignments = this._ownAssignments();
		for (const [endpoint, served] of this._served) {
			this._reconcileServed(endpoint, served, assignments.get(endpoint));
		}

		for (const endpoint of this._cooldowns.keys()) {
			if (!assignments.has(endpoint)) {
				this._endCooldown(endpoint);
			}
		}

		for (const [endpoint, assignment] of assignments) {
			if (!this._served.has(endpoint) && !this._isDraining && !this._cooldowns.has(endpoint)) {
				this._startHome(endpoint, assignment);
			}
		}
	}

	private _reconcileServed(endpoint: string, served: ServedEndpoint, assignment: EndpointAssignment | undefined): void {
		const {definition} = served.home;
		if (assignment && isSameAddress(assignment.definition, definition)) {
			this._cancelMove(served);
			served.home.update(assignment);
			return;
		}

		const isElsewhere = !assignment && this._definition(definition.group, endpoint) !== undefined;
		if (isElsewhere) {
			this._scheduleDrain(endpoint, served);
		} else {
			void this._drainHome(endpoint, this._handOverBounds());
		}
	}

	/**
	 * The new home requests the endpoint once it is ready to serve it; until then this node serves
	 * it. If no request comes, this node drains the endpoint after `movedGraceMs`.
	 */
	private _scheduleDrain(endpoint: string, served: ServedEndpoint): void {
		const {clock, options} = this._services;
		served.moveTimer ??= this._owned.register(clock.setTimer(options.movedGraceMs, () => {
			void this._drainHome(endpoint, this._handOverBounds());
		}));
	}

	private _ownAssignments(): Map<string, EndpointAssignment> {
		const {configuration, membership} = this._services;
		const assignments = new Map<string, EndpointAssignment>();
		for (const group of configuration.groups()) {
			for (const definition of group.endpoints) {
				if (membership.homeOf(definition)?.name === membership.self.name) {
					assignments.set(definition.name, {definition, groupSize: group.endpoints.length});
				}
			}
		}

		return assignments;
	}

	private _startHome(endpoint: string, assignment: EndpointAssignment): void {
		const {groups} = this._services;
		const home = new EndpointHome(this._services, assignment, this._homeId, groups.monitor(assignment.definition.group));
		this._served.set(endpoint, {home, moveTimer: undefined});
		home.start();
	}

	private _cancelMove(served: ServedEndpoint): void {
		if (served.moveTimer) {
			served.moveTimer.dispose();
			this._owned.release(served.moveTimer);
			served.moveTimer = undefined;
		}
	}

	private _handOverBounds(): DrainBounds {
		const {handOverBoundMs: boundMs, handOverTransactionMs: transactionMs} = this._services.options;
		return {boundMs, transactionMs};
	}

	private async _drainHome(endpoint: string, bounds: DrainBounds): Promise<void> {
		const served = this._served.get(endpoint);
		if (!served) {
			return;
		}

		await served.home.letGo(bounds);
		if (this._served.get(endpoint) !== served) {
			return;
		}

		this._cancelMove(served);
		served.home.dispose();
		this._served.delete(endpoint);
		this._services.log.event('endpointLetGo', {endpoint});
		this._reconcile();
	}

	/**
	 * Starts a cooldown after a hand-over of an endpoint that this node considers its own. Without
	 * it, two nodes that each consider themselves home would take the endpoint from each other in
	 * turn. An endpoint that this node knows to be assigned elsewhere needs no cooldown.
	 */
	private _startCooldown(endpoint: string): void {
		const {clock, options} = this._services;
		this._endCooldown(endpoint);
		const timer = this._owned.register(clock.setTimer(options.handedOverPauseMs, () => {
			this._owned.release(timer);
			this._cooldowns.delete(endpoint);
			this._reconcile();
		}));
		this._cooldowns.set(endpoint, timer);
	}

	/** Ends a cooldown. It is no longer needed once the home has moved, since the conflicting view that caused it is outdated. */
	private _endCooldown(endpoint: string): void {
		const timer = this._cooldowns.get(endpoint);
		if (timer) {
			this._owned.release(timer);
			timer.dispose();
			this._cooldowns.delete(endpoint);
		}
	}

	private _definition(group: string, endpoint: string): EndpointDefinition | undefined {
		return this._services.configuration.group(group)?.endpoints.find(other => other.name === endpoint);
	}
}

function isSameAddress(a: EndpointDefinition, b: EndpointDefinition): boolean {
	return a.host === b.host && a.port === b.port;
}
