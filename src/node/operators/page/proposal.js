/**
 * Takes a change from its preview to being in force: confirmation, conflict, lost response, undo.
 */
import {
	button, buttonRow, byId, element, list, paragraph, pause, showMessage, send, unfold,
} from './dom.js';

const {document, sessionStorage} = globalThis;
const pendingKey = 'pendingChange';
const reachIntervalMs = 1000;
const reachRounds = 60;

function newChangeId() {
	const bytes = globalThis.crypto.getRandomValues(new Uint8Array(12));
	return [...bytes].map(byte => byte.toString(16).padStart(2, '0')).join('');
}

function problemsText({problems = [], detail = ''}) {
	return problems.map(({path, expected}) => `${path}: ${expected}`).join('\n') || detail;
}

/** Shows the panel in place of its previous content, and moves the focus to it. */
function showPanel(title, content) {
	byId('confirm-title').textContent = title;
	byId('confirm-body').replaceChildren(...content.flat().filter(Boolean));
	byId('confirm').hidden = false;
	byId('pending').hidden = true;
	byId('confirm').scrollIntoView();
	byId('confirm-title').focus();
}

/** Hides the panel; shows the button for a change whose outcome is not known yet. */
export function hidePanel() {
	byId('confirm').hidden = true;
	byId('pending').hidden = sessionStorage.getItem(pendingKey) === null;
}

function count(number, word) {
	return `${number} ${word}${number === 1 ? '' : 's'}`;
}

function touchedText(touched) {
	const callers = touched.touchesUnlistedCallers ? `${count(touched.callerCount, 'listed caller')} and others` : count(touched.callerCount, 'caller');
	return `Touches ${count(touched.endpointCount, 'endpoint')} in ${count(touched.zoneCount, 'zone')}, ${count(touched.groupCount, 'group')}, ${callers}.`;
}

function names(title, values) {
	return values.length > 0 && paragraph(`${title}: ${values.join(', ')}`, 'faint');
}

function pretty(title, value) {
	return value !== undefined && element('pre', {}, `${title} ${JSON.stringify(value, undefined, 1)}`);
}

function differenceItem({kind, name, action, before, after}) {
	return element('li', {class: 'card'}, [
		element('h3', {}, `${action}: ${kind} ${name}`),
		unfold('Details', [pretty('before', before), pretty('after', after)]),
	]);
}

/** One checkbox for each warning; the confirm button is disabled until all are ticked. */
function warningBoxes(warnings, confirm) {
	const inputs = warnings.map(() => element('input', {type: 'checkbox'}));
	const update = () => {
		confirm.disabled = inputs.some(input => !input.checked);
	};

	update();
	return warnings.map(({message}, index) => {
		inputs[index].addEventListener('change', update);
		return element('label', {class: 'check'}, [inputs[index], element('span', {}, message)]);
	});
}

function showPreview(title, shown, onConfirm) {
	const confirm = button('Confirm', onConfirm, 'main');
	showPanel(title, [
		paragraph(`Based on change ${shown.basedOn}. ${touchedText(shown.touched)}`),
		names('Endpoints', shown.touched.endpoints),
		names('Zones', shown.touched.zones),
		names('Callers', shown.touched.callers),
		list(shown.differences.map(difference => differenceItem(difference))),
		shown.warnings.length > 0 && paragraph('Tick what you accept, then confirm:', 'care'),
		warningBoxes(shown.warnings, confirm),
		buttonRow(button('Cancel', hidePanel), confirm),
	]);
}

/** Shows what a change would do, then proposes it. */
export async function preview(title, desiredChange) {
	const shown = await send('POST', '/api/changes/preview', desiredChange);
	if (!shown.isDone) {
		showMessage(problemsText(shown) || 'No answer; nothing was changed.');
		return;
	}

	showMessage('');
	const path = desiredChange.undoOf === undefined ? '/api/changes' : `/api/changes/${desiredChange.undoOf}/undo`;
	// Every request for this preview carries one change identifier, so that the change is applied once.
	const body = {
		...(desiredChange.undoOf === undefined && desiredChange),
		changeId: newChangeId(),
		basedOn: shown.basedOn,
		acknowledged: shown.warnings.map(({id}) => id),
	};
	const proposal = {
		title, wish: desiredChange, path, body,
	};
	showPreview(title, shown, async () => propose(proposal));
}

/** Sends a proposal. Until its outcome is known, it is kept in the session storage, which survives a reload. */
async function propose(proposal) {
	sessionStorage.setItem(pendingKey, JSON.stringify(proposal));
	showMessage('Sending…');
	const answer = await send('POST', proposal.path, proposal.body);
	const outcome = answer.isDone ? 'accepted' : answer.kind;
	const handle = outcomes[outcome] ?? outcomes.refused;
	handle(proposal, answer);
}

function clearPending() {
	sessionStorage.removeItem(pendingKey);
	byId('pending').hidden = true;
	showMessage('');
}

async function showAccepted({title}, {change}) {
	clearPending();
	const reachElement = element('div', {'aria-live': 'polite'}, 'Asking the nodes…');
	showPanel(`Change ${change.number} is accepted`, [
		paragraph(title),
		reachElement,
		buttonRow(button('Undo', async () => undo(change.number)), button('Done', hidePanel, 'main')),
	]);
	document.dispatchEvent(new Event('changed'));
	await followReach(change.number, reachElement);
}

function showConflict({title, wish: desiredChange}, {changes}) {
	clearPending();
	showPanel('Another operator was faster', [
		paragraph('Nothing of yours was changed. Since you looked:'),
		list(changes.map(change => changeCard(change))),
		buttonRow(button('Cancel', hidePanel), button('Redo on top', async () => preview(title, desiredChange), 'main')),
	]);
}

function showUnacknowledged(proposal, {preview: shown}) {
	clearPending();
	const acknowledged = shown.warnings.map(({id}) => id);
	const body = {...proposal.body, acknowledged};
	showPreview(proposal.title, shown, async () => propose({...proposal, body}));
}

function showUnknown(proposal, {detail = ''}) {
	showMessage('');
	showPanel('It is not known yet whether this took effect', [
		paragraph(proposal.title),
		paragraph(`Send it again to find out: it applies once. ${detail}`),
		buttonRow(button('Later', hidePanel), button('Send again', async () => propose(proposal), 'main')),
	]);
}

function showUnavailable(proposal, {detail, retryAfterMs}) {
	clearPending();
	showPanel('Not accepted', [
		paragraph(`Nothing was changed: ${detail}. Come back in ${Math.ceil(retryAfterMs / 1000)} s.`),
		buttonRow(button('Cancel', hidePanel), button('Try again', async () => propose(proposal), 'main')),
	]);
}

function showRefused(_proposal, answer) {
	clearPending();
	showMessage(problemsText(answer) || `Refused: ${answer.kind}`);
}

/** The handler of each outcome of a proposal. */
const outcomes = {
	accepted: showAccepted,
	conflict: showConflict,
	unacknowledged: showUnacknowledged,
	unknown: showUnknown,
	noAnswer: showUnknown,
	failed: showUnknown,
	unavailable: showUnavailable,
	refused: showRefused,
};

/** Undoes a change without a preview; only warnings have to be confirmed. */
export async function undo(number) {
	const configuration = await send('GET', '/api/configuration');
	if (!configuration.isDone) {
		showMessage('No answer; nothing was changed.');
		return;
	}

	await propose({
		title: `Undo change ${number}`,
		wish: {undoOf: number},
		path: `/api/changes/${number}/undo`,
		body: {changeId: newChangeId(), basedOn: configuration.version},
	});
}

/** Offers to send a proposal again that has no response, also one sent before a reload. */
export function resumePending() {
	const pending = sessionStorage.getItem(pendingKey);
	if (pending !== null) {
		showUnknown(JSON.parse(pending), {});
	}
}

function nodeNames(title, nodes) {
	return nodes.length > 0 && paragraph(`${title}: ${nodes.map(({name}) => name).join(', ')}`, 'care');
}

function reachContent({number, nodeCount, inForceCount, isEverywhere, lagging, cutOff}) {
	const parts = [
		paragraph(`Change ${number} is in force on ${inForceCount} of ${nodeCount} nodes.`, isEverywhere ? 'good' : 'care'),
		nodeNames('Lagging', lagging),
		nodeNames('Cut off from this node', cutOff),
	];
	return parts.filter(Boolean);
}

async function followReach(number, reachElement) {
	for (let round = 0; round < reachRounds && reachElement.isConnected; round++) {
		const reach = await send('GET', `/api/changes/${number}/reach`);
		if (reach.isDone) {
			reachElement.replaceChildren(...reachContent(reach));
		}

		if (reach.isEverywhere) {
			return;
		}

		await pause(reachIntervalMs);
	}
}

/** Shows on which nodes a change is in force. */
export async function showReach(number) {
	const reachElement = element('div', {'aria-live': 'polite'}, 'Asking the nodes…');
	showPanel(`Where change ${number} is in force`, [reachElement, button('Done', hidePanel, 'main')]);
	await followReach(number, reachElement);
}

function operationText(operation) {
	const name = operation.op === 'remove' ? operation.name : operation.value.name ?? operation.value.user;
	return `${operation.op} ${operation.kind} ${name}`;
}

/** Maximum number of operations of a change that are listed. */
const operationsShown = 5;

/** One change of the log. */
export function changeCard(change, buttons = []) {
	const more = change.operations.length - operationsShown;
	const undone = change.undoOf === undefined ? '' : `, undoes change ${change.undoOf}`;
	return element('li', {class: 'card'}, [
		element('h3', {}, `Change ${change.number} by ${change.author}${undone}`),
		paragraph(new Date(change.at).toLocaleString(), 'faint'),
		change.note !== undefined && paragraph(change.note),
		list(change.operations.slice(0, operationsShown).map(operation => element('li', {}, operationText(operation)))),
		more > 0 && paragraph(`and ${more} more`, 'faint'),
		buttons.length > 0 && buttonRow(...buttons),
	]);
}
