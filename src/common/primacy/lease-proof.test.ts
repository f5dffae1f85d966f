import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LeaseProof} from './lease-proof.js';
import {proofFields, proofGapMs} from './lease-proof.js';

const proof: LeaseProof = {term: 3, provedAtMs: 1000.4, origin: {kind: 'endpoint', name: 'i-2'}};

describe('LeaseProof', () => {
	it('is logged with its origin and its age', () => {
		expect(proofFields(proof, 1100)).toEqual({source: 'i-2', sourceKind: 'endpoint', provedAgoMs: 100});
	});

	it('has a gap to an earlier proof of its term, and none to a proof of another term', () => {
		expect(proofGapMs({...proof, provedAtMs: 400}, proof)).toEqual(600);
		expect(proofGapMs({...proof, term: 2}, proof)).toEqual(undefined);
		expect(proofGapMs(undefined, proof)).toEqual(undefined);
	});
});
