/**
 * The read-only commands `status` and `audit`.
 */
import type {Command} from 'commander';
import type {AuditPage} from '../../common/audit/types.js';
import type {EndpointStatus, SystemStatus} from '../operators/types.js';
import type {ExitCode} from './constants.js';
import {callApi, operatorCommand, type OperatorOptions} from './operator-options.js';
import {parseWholeNumber} from './parse-whole-number.js';
import {textTable} from './text-table.js';
import type {CliContext} from './types.js';

/** `quetzalstream status`. */
export function statusCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return operatorCommand('status', 'show groups, endpoints and nodes as one node sees them')
		.addHelpText('after', `
Examples:
  quetzalstream status --url http://10.0.0.1:8080 --user ann
  QUETZALSTREAM_URL=http://10.0.0.1:8080 quetzalstream status --json`)
		.action(async (options: OperatorOptions) => {
			finish(await callApi(context, options, async api => api.status(), describeStatus));
		});
}

/** `quetzalstream audit`. */
export function auditCommand(context: CliContext, finish: (code: ExitCode) => void): Command {
	return operatorCommand('audit', 'show the audit trail, newest entries first')
		.option('--limit <count>', 'entries to show', parseWholeNumber)
		.option('--before <position>', 'continue where the previous page ended')
		.addHelpText('after', `
Examples:
  quetzalstream audit --limit 20
  quetzalstream audit --before 2026-01-31/000412`)
		.action(async (options: OperatorOptions & {limit?: number; before?: string}) => {
			finish(await callApi(context, options, async api => api.audit(options.limit, options.before), describeAudit));
		});
}

/** Formats the status as tables for operators. */
export function describeStatus(status: SystemStatus): string {
	const {node, configurationVersion, groups, nodes, degraded, lastFailover, replicaReadShare} = status;
	const endpoints = groups.flatMap(group => group.endpoints.map(endpoint => [
		group.name,
		group.term,
		endpoint.name,
		endpoint.availabilityZone,
		describeRole(endpoint),
		endpoint.lagEntries,
		endpoint.ageMs === undefined ? undefined : `${Math.round(endpoint.ageMs)} ms`,
		endpoint.home,
	]));
	const parts = [
		`as ${node.name} in ${node.availabilityZone} sees it; configuration ${configurationVersion}`,
		textTable(['GROUP', 'TERM', 'ENDPOINT', 'ZONE', 'ROLE', 'LAG', 'AGE', 'HOME'], endpoints),
		textTable(['NODE', 'ZONE', 'CONFIGURATION', 'STATE'], nodes.map(({name, availabilityZone, configurationVersion: version, isLeaving, isReachable}) =>
			[name, availabilityZone, version, isReachable ? (isLeaving ? 'leaving' : 'here') : 'no answer'])),
		replicaReadShare === undefined ? '' : `reads served by replicas on this node: ${(100 * replicaReadShare).toFixed(1)} %`,
		lastFailover ? `last failover: ${lastFailover.group} (${lastFailover.reason}) at ${lastFailover.at}, ${Math.round(lastFailover.gapMs)} ms without writes` : '',
		degraded.map(({subject, reason}) => `degraded: ${subject}: ${reason}`).join('\n'),
	];
	return parts.filter(part => part !== '').join('\n\n');
}

function describeRole({role, isReachable, isDraining}: EndpointStatus): string {
	const marks = [isReachable ? '' : 'no answer', isDraining ? 'draining' : ''].filter(mark => mark !== '');
	return marks.length === 0 ? role ?? '' : `${role ?? 'unknown'} (${marks.join(', ')})`;
}

function describeAudit({records, next}: AuditPage): string {
	const rows = records.map(({atMs, node, actor, act, subject, basis, outcome}) =>
		[new Date(atMs).toISOString(), node, actor, act, subject, basis, outcome]);
	const table = textTable(['TIME', 'NODE', 'ACTOR', 'ACT', 'SUBJECT', 'BASIS', 'OUTCOME'], rows);
	return next === undefined ? table : `${table}\n\nmore: --before ${next}`;
}
