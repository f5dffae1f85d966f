/**
 * The log of changes and the audit trail.
 */
import {
	button, byId, element, list, paragraph, send,
} from './dom.js';
import {changeCard, showReach, undo} from './proposal.js';

/** Shows the newest changes. */
export async function showHistory() {
	const {isDone, changes, detail} = await send('GET', '/api/changes');
	if (!isDone) {
		byId('history').replaceChildren(paragraph(`The history cannot be read: ${detail}`, 'bad'));
		return;
	}

	const cards = changes.map(change => changeCard(change, [
		button('Undo', async () => undo(change.number)),
		button('Reach', async () => showReach(change.number)),
	]));
	byId('history').replaceChildren(cards.length === 0 ? paragraph('No change yet.') : list(cards));
}

/** The name in `<name>/<incarnation>`; the whole would fill a line. */
function nameOf(node) {
	return node.split('/', 1)[0];
}

function auditCard({actor, act, subject, basis, outcome, atMs, node}) {
	return element('li', {class: 'card'}, [
		element('h3', {}, `${act}: ${outcome}`),
		paragraph(subject),
		paragraph(`${new Date(atMs).toLocaleString()}, ${actor}, on ${nameOf(node)}`, 'faint'),
		paragraph(basis, 'faint'),
	]);
}

/** Shows the audit trail, newest first, from the cursor that the previous page returned. */
export async function showAudit(before) {
	const query = before === undefined ? '' : `?before=${encodeURIComponent(before)}`;
	const {isDone, records, next, detail} = await send('GET', `/api/audit${query}`);
	if (!isDone) {
		byId('audit').replaceChildren(paragraph(`The audit trail cannot be read: ${detail}`, 'bad'));
		return;
	}

	byId('audit').replaceChildren(list(records.map(record => auditCard(record))));
	if (next !== undefined) {
		byId('audit').append(button('Older', async () => showAudit(next)));
	}
}
