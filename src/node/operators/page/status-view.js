/**
 * The system at a glance, with the two changes that are most often made from it.
 */
import {
	button, buttonRow, byId, element, list, paragraph, send, unfold,
} from './dom.js';
import {drainOperation, orderPrimaryOperation} from './forms.js';
import {preview} from './proposal.js';

const {document} = globalThis;

function joined(...parts) {
	return parts.filter(Boolean).join(', ');
}

function fact(name, value, className) {
	return element('div', {class: 'fact'}, [
		element('span', {class: 'faint'}, name),
		element('b', {class: className}, value),
	]);
}

function lagText({lagEntries, ageMs}) {
	const entries = lagEntries === undefined ? '' : `${lagEntries} entries behind`;
	const age = ageMs === undefined ? '' : `at most ${Math.round(ageMs)} ms old`;
	return joined(entries, age) || 'lag unknown';
}

function endpointButtons(group, {name, isDraining}) {
	const drain = button('Drain', async () => preview(`Drain ${name}`, {operations: [drainOperation('endpoint', name)]}));
	const promote = button('Make primary', async () => preview(`Make ${name} primary of ${group.name}`, {operations: [orderPrimaryOperation(group.name, name)]}));
	// An endpoint that is drained is not made primary; the drain is ended under Change.
	return !isDraining && buttonRow(drain, name !== group.primary && promote);
}

function endpointCard(group, endpoint) {
	const isPrimary = endpoint.name === group.primary;
	const role = isPrimary ? 'primary' : endpoint.role ?? 'unknown role';
	const isHealthy = endpoint.isReachable && !endpoint.isDraining;
	return element('li', {class: 'card'}, [
		element('h3', {}, endpoint.name),
		paragraph(joined(role, !endpoint.isReachable && 'not reached', endpoint.isDraining && 'draining'), isHealthy ? 'good' : 'care'),
		paragraph(joined(endpoint.availabilityZone, !isPrimary && lagText(endpoint), endpoint.home && `home ${endpoint.home}`), 'faint'),
		endpointButtons(group, endpoint),
	]);
}

function groupCard(group) {
	const reached = group.endpoints.filter(({isReachable}) => isReachable).length;
	return element('article', {class: 'card'}, [
		element('h3', {}, `${group.name} (${group.service})`),
		group.primary === '' ? paragraph('no known primary', 'bad') : paragraph(`primary ${group.primary}, term ${group.term}`),
		unfold(`${reached} of ${group.endpoints.length} endpoints reached`, [list(group.endpoints.map(endpoint => endpointCard(group, endpoint)))]),
	]);
}

/** Shows only what is unusual, because there may be hundreds of nodes. */
function nodeItem({name, isReachable, isLeaving, configurationVersion}, status) {
	const isCurrent = configurationVersion === undefined || configurationVersion === status.configurationVersion;
	const text = joined(!isReachable && 'not reached', isLeaving && 'leaving', !isCurrent && `configuration ${configurationVersion}`);
	return element('li', {class: text === '' ? undefined : 'care'}, text === '' ? name : `${name}: ${text}`);
}

function zoneCard(zone, status) {
	const nodes = status.nodes.filter(({availabilityZone}) => availabilityZone === zone);
	const reached = nodes.filter(({isReachable}) => isReachable).length;
	const title = element('span', {class: reached === nodes.length ? undefined : 'care'}, `${zone}: ${reached} of ${nodes.length} reached`);
	return unfold(title, [list(nodes.map(node => nodeItem(node, status)))]);
}

function zonesOf({nodes}) {
	return [...new Set(nodes.map(({availabilityZone}) => availabilityZone))].toSorted();
}

function degradedCard(degraded) {
	if (degraded.length === 0) {
		return paragraph('Everything works.', 'good');
	}

	return element('div', {class: 'card'}, [
		element('h3', {class: 'bad'}, 'Degraded'),
		list(degraded.map(({subject, reason}) => element('li', {}, [element('b', {}, subject), `: ${reason}`]))),
	]);
}

function factsCard({nodes, configurationVersion, replicaReadShare, lastFailover}) {
	const reached = nodes.filter(({isReachable}) => isReachable).length;
	const share = replicaReadShare === undefined ? 'no reads yet' : `${(replicaReadShare * 100).toFixed(1)}%`;
	return element('div', {class: 'card facts'}, [
		fact('Nodes reached', `${reached} of ${nodes.length}`, reached === nodes.length ? 'good' : 'care'),
		fact('Configuration', String(configurationVersion)),
		fact('Replica reads here', share),
		fact('Last failover gap', lastFailover ? `${Math.round(lastFailover.gapMs)} ms` : 'none'),
		lastFailover && paragraph(`Last failover: ${lastFailover.group} (${lastFailover.reason}), ${new Date(lastFailover.at).toLocaleString()}`, 'faint'),
	]);
}

const focusable = 'summary, button';

/** Replaces the content of a section; keeps opened parts open and the focus where it is. */
function replaceContent(section, content) {
	const open = [...section.querySelectorAll('details')].map(details => details.open);
	const focused = [...section.querySelectorAll(focusable)].indexOf(document.activeElement);
	section.replaceChildren(...content);
	for (const [index, details] of [...section.querySelectorAll('details')].entries()) {
		details.open = open[index] ?? false;
	}

	section.querySelectorAll(focusable)[focused]?.focus({preventScroll: true});
}

/** Reads and shows the status; leaves it as it is while the operator presses on it. */
export async function showStatus() {
	const status = await send('GET', '/api/status');
	if (!status.isDone) {
		byId('place').textContent = 'This node does not answer.';
		return;
	}

	byId('place').textContent = `Seen from ${status.node.name} in ${status.node.availabilityZone}`;
	const section = byId('status');
	if (section.matches(':active')) {
		return;
	}

	replaceContent(section, [
		degradedCard(status.degraded),
		factsCard(status),
		element('h2', {}, 'Groups'),
		...status.groups.map(group => groupCard(group)),
		element('h2', {}, 'Nodes'),
		element('div', {class: 'card'}, zonesOf(status).map(zone => zoneCard(zone, status))),
	]);
}
