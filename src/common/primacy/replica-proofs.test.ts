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

/** Time from the last write of a registration to its lapse. */
const lifetimeMs = 3600;

describe('ReplicaProofs', () => {
	let reports: EndpointReports;
	let log: RecordingLog;
	/** Time since each replica wrote its registration, by id. */
	let reportedAgoMs: Record<string, number>;
	/** Time since the registrations were proved to be complete, and when all nodes that may promote have denied that they do. */
	let registrationsAgoMs: number;
	let unreplacedAtMs: number | undefined;

	beforeEach(() => {
		reports = new EndpointReports(new VirtualClock());
		log = new RecordingLog();
		reportedAgoMs = {'i-2': 0, 'i-3': 0};
		registrationsAgoMs = 0;
		unreplacedAtMs = undefined;
	});

	function createProofs(registrationLifetimeMs: number | undefined): ReplicaProofs {
		const registry: Pick<EndpointRegistry, 'hasReportedWithin' | 'provedAgoMs'> = {hasReportedWithin: (id, ageMs) => reportedAgoMs[id] < ageMs, provedAgoMs: registrationsAgoMs};
		return new ReplicaProofs({service: 'svc', replicas: () => [endpoint('i-2'), endpoint('i-3')]}, reports, {
			registry, log, peers: {unreplacedAtMs: () => unreplacedAtMs}, options: primacyDefaults, registrationLifetimeMs,
		});
	}

	function report(id: string, sentAtMs: number, status: Partial<EndpointStatus> = {}): void {
		reports.noteStatus(id, {sentAtMs, applied: undefined, status: {...following, ...status}});
	}

	it('accepts the report of one replica while its registration outlives a lease', () => {
		const proofs = createProofs(lifetimeMs);
		report('i-2', 10);
		reportedAgoMs['i-2'] = lifetimeMs - primacyDefaults.leaseMs - 1;
		expect(proofs.provedAtMs('i-2', term)).toEqual(10);
		reportedAgoMs['i-2'] += 1;
		expect(proofs.provedAtMs('i-2', term)).toEqual(undefined);
	});

	it('accepts the reports of all replicas together otherwise, dated by the earliest', () => {
		const proofs = createProofs(lifetimeMs);
		reportedAgoMs = {'i-2': lifetimeMs, 'i-3': lifetimeMs};
		report('i-2', 10);
		expect([proofs.provedAtMs('i-2', term), proofs.areAllNeeded]).toEqual([undefined, false]);
		report('i-3', 20);
		expect([proofs.provedAtMs('i-3', term), proofs.areAllNeeded]).toEqual([10, true]);
		reportedAgoMs['i-3'] = 0;
		expect([proofs.provedAtMs('i-3', term), proofs.areAllNeeded]).toEqual([20, false]);
		expect(log.names).toEqual(['replicaProofsChanged', 'replicaProofsChanged']);
	});

	it('accepts only those if it is not known when registrations lapse', () => {
		const proofs = createProofs(undefined);
		report('i-2', 10);
		expect(proofs.provedAtMs('i-2', term)).toEqual(undefined);
		report('i-3', 20);
		expect(proofs.provedAtMs('i-3', term)).toEqual(10);
	});

	it('accepts the reports of all replicas by registrations that are too old only if no node replaces the primary', () => {
		reportedAgoMs = {'i-2': lifetimeMs, 'i-3': lifetimeMs};
		report('i-2', 10);
		report('i-3', 20);
		const longestMs = primacyDefaults.registrationsTrustMs - primacyDefaults.leaseMs;
		registrationsAgoMs = longestMs - 1;
		expect(createProofs(lifetimeMs).provedAtMs('i-3', term)).toEqual(10);
		registrationsAgoMs = longestMs;
		expect(createProofs(lifetimeMs).provedAtMs('i-3', term)).toEqual(undefined);
		unreplacedAtMs = 5;
		expect(createProofs(lifetimeMs).provedAtMs('i-3', term)).toEqual(5);
		unreplacedAtMs = 15;
		expect(createProofs(lifetimeMs).provedAtMs('i-3', term)).toEqual(10);
	});

	it('accepts nothing if one replica is fenced, follows another term or may have missed a fence', () => {
		const proofs = createProofs(lifetimeMs);
		reportedAgoMs = {'i-2': lifetimeMs, 'i-3': lifetimeMs};
		report('i-2', 10);
		for (const status of [{fencedForTerm: term + 1}, {term: term + 1}, {isPrimary: true}]) {
			report('i-3', 20, status);
			expect(proofs.provedAtMs('i-2', term)).toEqual(undefined);
		}

		reports.reset('i-3');
		report('i-3', 30);
		expect(proofs.provedAtMs('i-2', term)).toEqual(undefined);
	});
});
