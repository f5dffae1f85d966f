/**
 * The operators' page: static files of the package, read once at start.
 */
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {FastifyInstance} from 'fastify';

/** Folder of the files, relative to the package's root. */
const pageFolder = path.join('src', 'node', 'operators', 'page');

const scripts = ['page.js', 'dom.js', 'forms.js', 'status-view.js', 'change-view.js', 'history-view.js', 'proposal.js'];

/** The files and the URL paths that they are served at. */
const files = [
	{url: '/', name: 'index.html', type: 'text/html; charset=utf-8'},
	{url: '/page.css', name: 'page.css', type: 'text/css; charset=utf-8'},
	...scripts.map(name => ({url: `/${name}`, name, type: 'text/javascript; charset=utf-8'})),
];

/** The folder that holds package.json; compiled code lies at different depths below it. */
function packageRoot(): string {
	let folder = path.dirname(fileURLToPath(import.meta.url));
	while (!existsSync(path.join(folder, 'package.json')) && path.dirname(folder) !== folder) {
		folder = path.dirname(folder);
	}

	return folder;
}

/** The page loads nothing from other origins, and no other site may show it in a frame. */
const pageHeaders = {
	'content-security-policy': 'default-src \'self\'; frame-ancestors \'none\'; img-src \'self\' data:; base-uri \'none\'; form-action \'self\'',
	'cache-control': 'no-cache',
};

/** Serves the page. */
export function registerPage(server: FastifyInstance): void {
	const root = packageRoot();
	for (const {url, name, type} of files) {
		const text = readFileSync(path.join(root, pageFolder, name), 'utf8');
		server.get(url, async (_request, reply) => reply.headers(pageHeaders).type(type).send(text));
	}
}
