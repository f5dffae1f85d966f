import {describe, it} from 'node:test';
import {expect, mockObject} from 'earl';
import type {Log, Metrics} from '../services/services.js';
import {InvariantChecks, InvariantError} from './invariant-checks.js';

function build(isFatal: boolean) {
	const log = mockObject<Log>({event: () => undefined});
	const metrics = mockObject<Metrics>({count: () => undefined});
	return {log, metrics, checks: new InvariantChecks(log, metrics, {isFatal})};
}

const unexpectedDetail = (): string => {
	throw new Error('the detail must not be built for an invariant that holds');
};

describe('InvariantChecks', () => {
	it('logs and counts nothing if the invariant holds', () => {
		const {checks, log, metrics} = build(true);
		expect(checks.check('slotLimit', true, unexpectedDetail)).toEqual(true);
		expect(log.event).not.toHaveBeenCalled();
		expect(metrics.count).not.toHaveBeenCalled();
	});

	it('counts and logs a violated invariant without throwing', () => {
		const {checks, log, metrics} = build(false);
		expect(checks.check('slotLimit', false, () => 'four of three')).toEqual(false);
		expect(metrics.count).toHaveBeenOnlyCalledWith('invariantViolationsTotal', {invariant: 'slotLimit'});
		expect(log.event).toHaveBeenOnlyCalledWith('invariantViolated', {
			invariant: 'slotLimit',
			promise: 'an endpoint never runs more statements than it has slots',
			detail: 'four of three',
		});
	});

	it('throws on a violated invariant if violations are fatal', () => {
		const {checks} = build(true);
		expect(() => checks.check('slotLimit', false, () => 'four of three')).toThrow(InvariantError, 'slotLimit: four of three');
	});
});
