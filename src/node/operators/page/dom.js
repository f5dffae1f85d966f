/**
 * Small helpers of the operators' page: elements and requests.
 */
const {document, location} = globalThis;

/** The element with an id. */
export function byId(id) {
	return document.querySelector(`#${id}`);
}

/** Makes an element of its attributes, listeners (`on…`) and children; text is never read as markup. */
export function element(tag, attributes = {}, children = []) {
	const made = document.createElement(tag);
	for (const [name, value] of Object.entries(attributes)) {
		if (name.startsWith('on')) {
			made.addEventListener(name.slice(2), value);
		} else if (value !== undefined && value !== false) {
			made.setAttribute(name, value === true ? '' : value);
		}
	}

	made.append(...[children].flat(Number.POSITIVE_INFINITY).filter(child => child !== undefined && child !== false));
	return made;
}

/** A paragraph. */
export function paragraph(text, className) {
	return element('p', {class: className}, text);
}

/** A list. */
export function list(items) {
	return element('ul', {}, items);
}

/** A button that calls back; disabled while the call lasts, so that a double tap is one call. */
export function button(text, onTap, className) {
	const made = element('button', {
		type: 'button',
		class: className,
		async onclick() {
			made.disabled = true;
			try {
				await onTap();
			} finally {
				made.disabled = false;
			}
		},
	}, text);
	return made;
}

/** Buttons side by side. */
export function buttonRow(...buttons) {
	return element('div', {class: 'row'}, buttons);
}

/** A section that can be unfolded. */
export function unfold(title, children) {
	return element('details', {}, [element('summary', {}, title), ...children]);
}

/** Shows a message to the operator; a screen reader reads it out. */
export function showMessage(text) {
	byId('message').textContent = text;
}

/** Waits for a number of milliseconds. */
export async function pause(delayMs) {
	await new Promise(resolve => {
		setTimeout(resolve, delayMs);
	});
}

/** Time limit of one request. */
const requestTimeoutMs = 15_000;

/**
 * Sends a request. The result's `kind` is `noAnswer` if no response came; it is then not known
 * whether the request took effect.
 */
export async function send(method, path, body) {
	try {
		// The page's own address may hold credentials, which a relative address would take over.
		const response = await fetch(new URL(path, location.origin), {
			method,
			headers: body === undefined ? {} : {'content-type': 'application/json'},
			body: body === undefined ? undefined : JSON.stringify(body),
			signal: AbortSignal.timeout(requestTimeoutMs),
		});
		const answer = await response.json();
		return {isDone: response.ok, ...answer};
	} catch (error) {
		return {isDone: false, kind: 'noAnswer', detail: String(error)};
	}
}
