/**
 * The homes of this node: one for each endpoint that rendezvous hashing assigns to it.
 */
import type {Either} from 'purify-ts';
import {Left} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import type {
	AnswerSink, EndpointDefinition, Groups, HomeEnd, HomeRequest, Homes,
} from '../services/services.js';
import type {EndpointPlace} from './endpoint-home.js';
import {EndpointHome} from './endpoint-home.js';
import type {HomeContext} from './types.js';
import {delay} from './waiting.js';

/** What the service works with. */
export type HomeServiceServices = HomeContext & {
	readonly groups: Groups;
};

type ServedEndpoint = {
	readonly home: EndpointHome;
	/** Whether this node has begun to let the endpoint go. */
	isLeaving: boolean;
	/** Whether the endpoint's home has moved to another node. */
	hasMoved: boolean;
};

/** Keeps the homes of this node in step with membership and configuration. */
export class HomeService implements Homes {
	private readonly _services: HomeServiceServices;
	private readonly _homeId: string;
	private readonly _owned = new DisposableStore();
	private readonly _served = new Map<string, ServedEndpoint>();
	/** Endpoints that were let go a moment ago, and until when they are left alone. */
	private readonly _pausedUntilMs = new Map<string, number>();
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
		await this._letGo(endpoint, this._services.options.handOverBoundMs);
	}

	async drain(boundMs: number): Promise<void> {
		this._isDraining = true;
		await Promise.all([...this._served.keys()].map(async endpoint => this._letGo(endpoint, boundMs)));
	}

	dispose(): void {
		this._owned.dispose();
		for (const {home} of this._served.values()) {
			home.dispose();
		}

		this._served.clear();
	}

	/** Takes up what is this node's, and gives up what is not any more. */
	private _reconcile(): void {
		const places = this._ownPlaces();
		for (const [endpoint, served] of this._served) {
			const place = places.get(endpoint);
			if (place && isSameAddress(place.definition, served.home.definition)) {
				served.hasMoved = false;
				served.home.update(place);
			} else {
				void this._giveUp(endpoint, served);
			}
		}

		for (const [endpoint, place] of places) {
			if (!this._served.has(endpoint) && !this._isDraining && !this._isPaused(endpoint)) {
				this._takeUp(endpoint, place);
			}
		}
	}

	private _ownPlaces(): Map<string, EndpointPlace> {
		const {configuration, membership} = this._services;
		const places = new Map<string, EndpointPlace>();
		for (const group of configuration.groups()) {
			for (const definition of group.endpoints) {
				if (membership.homeOf(definition)?.name === membership.self.name) {
					places.set(definition.name, {definition, groupSize: group.endpoints.length});
				}
			}
		}

		return places;
	}

	private _takeUp(endpoint: string, place: EndpointPlace): void {
		const {groups} = this._services;
		const home = new EndpointHome(this._services, place, this._homeId, groups.monitor(place.definition.group));
		this._served.set(endpoint, {home, isLeaving: false, hasMoved: false});
		home.start();
	}

	/**
	 * The new home asks for the endpoint once it is ready to take it; until then it is served
	 * here. If nobody asks, it is let go after a while all the same.
	 */
	private async _giveUp(endpoint: string, served: ServedEndpoint): Promise<void> {
		if (served.hasMoved || served.isLeaving) {
			return;
		}

		const {clock, options} = this._services;
		const isRemoved = !this._definition(served.home.definition.group, endpoint);
		served.hasMoved = true;
		if (!isRemoved) {
			await delay(clock, options.movedGraceMs);
		}

		if (served.hasMoved && this._served.get(endpoint) === served) {
			await this._letGo(endpoint, options.handOverBoundMs);
		}
	}

	private async _letGo(endpoint: string, boundMs: number): Promise<void> {
		const served = this._served.get(endpoint);
		if (!served) {
			return;
		}

		const {clock, log, options} = this._services;
		served.isLeaving = true;
		await served.home.letGo(boundMs);
		if (this._served.get(endpoint) !== served) {
			return;
		}

		served.home.dispose();
		this._served.delete(endpoint);
		log.event('endpointLetGo', {endpoint});
		this._pausedUntilMs.set(endpoint, clock.nowMs() + options.handedOverPauseMs);
		const timer = this._owned.register(clock.setTimer(options.handedOverPauseMs, () => {
			this._owned.release(timer);
			this._pausedUntilMs.delete(endpoint);
			this._reconcile();
		}));
	}

	/** Two nodes that both believe to be home must not take an endpoint from each other in turn. */
	private _isPaused(endpoint: string): boolean {
		return (this._pausedUntilMs.get(endpoint) ?? Number.NEGATIVE_INFINITY) > this._services.clock.nowMs();
	}

	private _definition(group: string, endpoint: string): EndpointDefinition | undefined {
		return this._services.configuration.group(group)?.endpoints.find(other => other.name === endpoint);
	}
}

function isSameAddress(a: EndpointDefinition, b: EndpointDefinition): boolean {
	return a.host === b.host && a.port === b.port;
}
