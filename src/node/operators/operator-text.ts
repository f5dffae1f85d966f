/**
 * What the API answers, as lines for a terminal.
 */
import type {Explanation, SettingExplanation} from '../../common/configuration/explain.js';
import type {Change, Operation} from '../../common/configuration/schema.js';
import type {Preview, Touched} from '../../common/configuration/types.js';
import type {ClientRefusal} from './operator-client.js';
import type {ChangeReach, GroupStatus, SystemStatus} from './types.js';

function lagOf({lagEntries, ageMs}: {readonly lagEntries?: number; readonly ageMs?: number}): string {
	const entries = lagEntries === undefined ? 'lag unknown' : `${lagEntries} entries behind`;
	return ageMs === undefined ? entries : `${entries}, at most ${Math.round(ageMs)} ms old`;
}

function groupLines({name, service, primary, term, endpoints}: GroupStatus): readonly string[] {
	return [
		`${name} (${service}): ${primary === '' ? 'no known primary' : `primary ${primary}, term ${term}`}`,
		...endpoints.map(endpoint => {
			const state = [
				endpoint.name === primary ? 'primary' : endpoint.role ?? 'unknown role',
				endpoint.isReachable ? '' : 'not reached',
				endpoint.isDraining ? 'draining' : '',
				endpoint.name === primary ? '' : lagOf(endpoint),
			].filter(part => part !== '');
			return `  ${endpoint.name} in ${endpoint.availabilityZone}: ${state.join(', ')}`;
		}),
	];
}

/** The system at a glance. */
export function statusLines(status: SystemStatus): readonly string[] {
	const {lastFailover, replicaReadShare} = status;
	const reached = status.nodes.filter(({isReachable}) => isReachable).length;
	return [
		...status.degraded.map(({subject, reason}) => `DEGRADED ${subject}: ${reason}`),
		`seen from ${status.node.name} in ${status.node.availabilityZone}; configuration ${status.configurationVersion}; ${reached} of ${status.nodes.length} nodes reached`,
		`reads by replicas: ${replicaReadShare === undefined ? 'none yet' : `${(replicaReadShare * 100).toFixed(1)}%`}`,
		`last failover gap: ${lastFailover === undefined ? 'none' : `${Math.round(lastFailover.gapMs)} ms, ${lastFailover.group}, ${lastFailover.at}`}`,
		...status.groups.flatMap(group => groupLines(group)),
	];
}

function operationLine(operation: Operation): string {
	if (operation.op === 'remove') {
		return `remove ${operation.kind} ${operation.name}`;
	}

	const {value} = operation;
	return `put ${operation.kind} ${'user' in value ? value.user : value.name}`;
}

/** One change of the log. */
export function changeLines(change: Change): readonly string[] {
	const undone = change.undoOf === undefined ? '' : `, undoes ${change.undoOf}`;
	return [
		`change ${change.number} by ${change.author} at ${change.at}${undone}${change.note === undefined ? '' : `: ${change.note}`}`,
		...change.operations.map(operation => `  ${operationLine(operation)}`),
	];
}

function touchedLine(touched: Touched): string {
	const others = touched.touchesUnlistedCallers ? ' and callers that are not listed' : '';
	return `touches ${touched.endpointCount} endpoints in ${touched.zoneCount} zones, ${touched.groupCount} groups, ${touched.callerCount} callers${others}`;
}

/** What a change would do. */
export function previewLines(preview: Preview): readonly string[] {
	return [
		`based on change ${preview.basedOn}; ${touchedLine(preview.touched)}`,
		...preview.differences.map(({action, kind, name}) => `  ${action} ${kind} ${name}`),
		...preview.warnings.map(({id, message}) => `WARNING ${message} (acknowledge with ${id})`),
	];
}

/** Where a change is in force. */
export function reachLines(reach: ChangeReach): readonly string[] {
	return [
		`change ${reach.number} is in force on ${reach.inForceCount} of ${reach.nodeCount} nodes`,
		...reach.lagging.map(({name, version}) => `  ${name} lags at ${version}`),
		...reach.cutOff.map(({name}) => `  ${name} is cut off from this node`),
	];
}

function settingLines({setting, value, candidates}: SettingExplanation): readonly string[] {
	return [
		`${setting} = ${value === undefined ? 'unbounded' : JSON.stringify(value)}${candidates.length === 0 ? ' (default)' : ''}`,
		...candidates.map(({rule, value: stated, selector, lostBy}) => `  ${lostBy === undefined ? 'wins' : `loses (${lostBy})`}: ${rule} says ${JSON.stringify(stated)} for ${selector}`),
	];
}

/** Why a statement goes where it goes. */
export function explanationLines(explanation: Explanation): readonly string[] {
	return [
		...explanation.summary,
		...explanation.settings.flatMap(setting => settingLines(setting)),
		...explanation.endpoints.map(({endpoint, availabilityZone, mayServe, reasons}) => `endpoint ${endpoint} in ${availabilityZone}: ${mayServe ? 'may serve' : reasons.join(', ')}`),
	];
}

type Lines = {readonly [Kind in ClientRefusal['kind']]?: (refusal: Extract<ClientRefusal, {kind: Kind}>) => readonly string[]};

/** Kinds that say more than their detail. */
const refusalDetails: Lines = {
	invalid: ({problems}) => problems.map(({path, expected}) => `${path}: ${expected}`),
	conflict: ({changes}) => ['another operator was faster; nothing of yours was changed', ...changes.flatMap(change => changeLines(change))],
	unacknowledged: ({preview}) => previewLines(preview),
	unauthorized: () => ['the user or the password is wrong'],
};

function detailLines<Kind extends ClientRefusal['kind']>(refusal: Extract<ClientRefusal, {kind: Kind}>, kind: Kind): readonly string[] {
	const describe = refusalDetails[kind];
	if (describe) {
		return describe(refusal);
	}

	return 'detail' in refusal ? [String(refusal.detail)] : [];
}

/** Why something was refused, and when to come back. */
export function refusalLines(refusal: ClientRefusal): readonly string[] {
	const retry = 'retryAfterMs' in refusal ? [`come back in ${Math.ceil(refusal.retryAfterMs / 1000)} s`] : [];
	return [`refused: ${refusal.kind}`, ...detailLines(refusal, refusal.kind), ...retry];
}
