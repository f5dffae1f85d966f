/**
 * Parser of `quetzalstream.state` reports (docs/ENDPOINTS.md, "Reports").
 */
import {parsePosition} from '../../common/positions/log-position.js';
import type {InstanceRole, InstanceState} from '../../common/services/services.js';

const roles = new Map<string, InstanceRole>([
	['primary', 'primary'],
	['replica', 'replica'],
	['rebuilding', 'rebuilding'],
]);

const flags = new Map([['t', true], ['f', false]]);

const termPattern = /^\d{1,15}$/v;

const fieldCount = 6;

/** Reads a state report; undefined when it is malformed. */
export function parseInstanceState(text: string): InstanceState | undefined {
	const fields = text.split(' ');
	if (fields.length !== fieldCount) {
		return undefined;
	}

	const [roleText = '', termText = '', claimText = '', receivedText = '', appliedText = '', streamingText = ''] = fields;
	const role = roles.get(roleText);
	const received = parsePosition(receivedText);
	const applied = parsePosition(appliedText);
	const isStreaming = flags.get(streamingText);
	if (!role || !received || !applied || isStreaming === undefined) {
		return undefined;
	}

	if (!termPattern.test(termText) || claimText === '') {
		return undefined;
	}

	return {
		role,
		promisedTerm: Number(termText),
		claimId: claimText === '-' ? '' : claimText,
		received,
		applied,
		isStreaming,
	};
}
