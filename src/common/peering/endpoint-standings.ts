/**
 * The standings of endpoints within their groups, as this node sees them from the reports of homes and
 * from the trial statements that it sends.
 */
import type {EndpointFigures, EndpointStanding, Ejection} from '../load/outlier-detector.js';
import {OutlierDetector} from '../load/outlier-detector.js';
import type {
	Clock, Log, Metrics, Random, RegisteredEndpoint,
} from '../services/services.js';

type StandingServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Compares the endpoints of each group. */
export class EndpointStandings {
	private readonly _services: StandingServices;
	private readonly _detectors = new Map<string, OutlierDetector>();

	constructor(services: StandingServices) {
		this._services = services;
	}

	standing({service, id}: RegisteredEndpoint): EndpointStanding {
		return this._detectors.get(service)?.standing(id, this._services.clock.nowMs()) ?? 'admitted';
	}

	/** Applies the figures that a home reported of an endpoint. A primary is never ejected. */
	noteFigures(endpoint: RegisteredEndpoint, figures: EndpointFigures): void {
		const ejection = this._detector(endpoint).note(endpoint.id, figures, !endpoint.claimsPrimary, this._services.clock.nowMs());
		if (ejection) {
			this._report(endpoint, ejection, figures);
		}
	}

	/** Records that a statement is sent elsewhere because an endpoint is ejected. */
	notePassedOver(endpoint: RegisteredEndpoint): void {
		this._detector(endpoint).notePassedOver(endpoint.id);
	}

	beginTrial(endpoint: RegisteredEndpoint): void {
		this._detector(endpoint).beginTrial(endpoint.id, this._services.clock.nowMs());
	}

	/** Ends a trial whose statement did not run. */
	abandonTrial(endpoint: RegisteredEndpoint): void {
		this._detector(endpoint).abandonTrial(endpoint.id);
	}

	endTrial(endpoint: RegisteredEndpoint, outcome: {readonly isFailed: boolean; readonly serviceMs: number}): void {
		const {clock, log} = this._services;
		const ejection = this._detector(endpoint).endTrial(endpoint.id, outcome, clock.nowMs());
		if (ejection) {
			this._report(endpoint, ejection, {serviceMs: outcome.serviceMs, failedShare: outcome.isFailed ? 1 : 0, measured: 1});
		} else {
			log.event('endpointReadmitted', {endpoint: endpoint.id, group: endpoint.service, serviceMs: outcome.serviceMs});
		}
	}

	private _report({id, service}: RegisteredEndpoint, {reason, forMs, medianMs}: Ejection, figures: EndpointFigures): void {
		const {log, metrics} = this._services;
		log.event('endpointEjected', {
			endpoint: id, group: service, reason, forMs, medianMs, ...figures,
		});
		metrics.count('endpointEjectionsTotal', {reason});
	}

	private _detector({service}: RegisteredEndpoint): OutlierDetector {
		let detector = this._detectors.get(service);
		if (!detector) {
			detector = new OutlierDetector(() => this._services.random.next());
			this._detectors.set(service, detector);
		}

		return detector;
	}
}
