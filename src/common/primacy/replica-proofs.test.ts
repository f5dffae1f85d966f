import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointRegistry} from '../catalog/endpoint-registry.js';
import type {EndpointStatus, RegisteredEndpoint} from '../services/services.js';
import {RecordingLog} from '../testing/observers.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {primacyDefaults} from './constants.js';
import {EndpointReports} from './endpoint-reports.js';
import {ReplicaProofs} from './replica-proofs.js';

const term = 3;

const following: EndpointStatus = {
	isPrimary: false, term, received: {term, offset: 1}, fencedForTerm: 0, lagMs: 0, busySlots: 0, connections: 1,
};

function endpoint(id: string): RegisteredEndpoint {
	return {
		id, service: 'svc', availabilityZone: 'a', host: id, port: 1, slots: 3, isDraining: false, claimsPrimary: false, incarnation: 0,
	};
}

describe('ReplicaProofs', () => {
	let reports: EndpointReports;
	let log: RecordingLog;
	/** Age of the known registrations, and the replicas of which they show that they serve. */
	let ageMs: number;
	let serving: Set<string>;
	let proofs: ReplicaProofs;

	beforeEach(() => {
		reports = new EndpointReports(new VirtualClock());
		log = new RecordingLog();
		ageMs = 0;
		serving = new Set(['i-2', 'i-3']);
		const registry: Pick<EndpointRegistry, 'ageMs' | 'wasServingWithin'> = {
			get ageMs() {
				return ageMs;
			},
			wasServingWithin: (id, maximumMs) => serving.has(id) && ageMs < maximumMs,
		};
		proofs = new ReplicaProofs({service: 'svc', replicas: () => [endpoint('i-2'), endpoint('i-3')]}, reports, {registry, log, options: primacyDefaults});
	});

	function report(id: string, sentAtMs: number, status: Partial<EndpointStatus> = {}): void {
		reports.noteStatus(id, {sentAtMs, applied: undefined, status: {...following, ...status}});
	}

	it('accepts the report of one replica while its registration is current', () => {
		report('i-2', 10);
		expect(proofs.provedAtMs('i-2', term)).toEqual(10);
	});

	it('accepts only the reports of all replicas together once registrations are too old, dated by the earliest', () => {
		ageMs = primacyDefaults.registrationTrustMs;
		report('i-2', 10);
		expect([proofs.provedAtMs('i-2', term), proofs.areAllNeeded]).toEqual([undefined, true]);
		report('i-3', 20);
		expect(proofs.provedAtMs('i-3', term)).toEqual(10);
		ageMs = 0;
		expect([proofs.provedAtMs('i-3', term), proofs.areAllNeeded]).toEqual([20, false]);
		expect(log.names).toEqual(['replicaProofsChanged', 'replicaProofsChanged']);
	});

	it('accepts nothing if one replica is fenced, follows another term or may have missed a fence', () => {
		ageMs = primacyDefaults.registrationTrustMs;
		report('i-2', 10);
		for (const status of [{fencedForTerm: term + 1}, {term: term + 1}, {isPrimary: true}]) {
			report('i-3', 20, status);
			expect(proofs.provedAtMs('i-2', term)).toEqual(undefined);
		}

		reports.reset('i-3');
		report('i-3', 30);
		expect(proofs.provedAtMs('i-2', term)).toEqual(undefined);
	});

	it('accepts the report of a replica that drains only together with those of the others', () => {
		serving.delete('i-2');
		report('i-2', 10);
		expect(proofs.provedAtMs('i-2', term)).toEqual(undefined);
		report('i-3', 20);
		expect([proofs.provedAtMs('i-2', term), proofs.areAllNeeded]).toEqual([10, false]);
	});
});
