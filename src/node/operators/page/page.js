/**
 * The operators' page: its sections and how they are refreshed.
 */
import {showChange, showForm, submitForm} from './change-view.js';
import {byId} from './dom.js';
import {showAudit, showHistory} from './history-view.js';
import {hidePanel, resumePending} from './proposal.js';
import {showStatus} from './status-view.js';

const {document, location} = globalThis;
const refreshIntervalMs = 3000;

/** The function that shows each section. */
const sections = {
	status: showStatus,
	change: showChange,
	history: showHistory,
	audit: showAudit,
};

let current = 'status';

async function show(name) {
	current = name;
	for (const section of Object.keys(sections)) {
		byId(section).hidden = section !== name;
	}

	for (const tab of document.querySelectorAll('nav button')) {
		if (tab.dataset.section === name) {
			tab.setAttribute('aria-current', 'page');
		} else {
			tab.removeAttribute('aria-current');
		}
	}

	await sections[name]();
}

for (const tab of document.querySelectorAll('nav button')) {
	tab.addEventListener('click', async () => {
		hidePanel();
		await show(tab.dataset.section);
	});
}

byId('pending').addEventListener('click', resumePending);
byId('change-kind').addEventListener('change', showForm);
byId('change-form').addEventListener('submit', submitForm);
document.addEventListener('changed', async () => sections[current]());
setInterval(async () => {
	if (current === 'status' && !document.hidden) {
		await showStatus();
	}
}, refreshIntervalMs);

// The node's name is known only from the status, which the other sections do not read.
byId('place').textContent = `Node at ${location.host}`;
resumePending();
const wanted = location.hash.slice(1);
await show(Object.hasOwn(sections, wanted) ? wanted : 'status');
