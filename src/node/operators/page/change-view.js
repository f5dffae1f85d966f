/**
 * The forms that make a change.
 */
import {
	byId, element, paragraph, showMessage, send,
} from './dom.js';
import {forms} from './forms.js';
import {preview} from './proposal.js';

/** The configuration whose entries the forms offer. */
let configuration;

function optionsOf({options}) {
	return options(configuration).map(({value, text}) => element('option', {value}, text));
}

function textInput({name, type}) {
	return element('input', {
		id: `field-${name}`,
		name,
		type,
		min: type === 'number' ? '0' : undefined,
		autocapitalize: 'off',
		autocomplete: 'off',
		spellcheck: 'false',
	});
}

function fieldInput(field) {
	const attributes = {id: `field-${field.name}`, name: field.name};
	if (field.options) {
		return element('select', attributes, optionsOf(field));
	}

	return field.type === 'textarea' ? element('textarea', {...attributes, spellcheck: 'false'}) : textInput(field);
}

function chosenForm() {
	return forms[Number(byId('change-kind').value)];
}

/** Shows the fields of the chosen form. */
export function showForm() {
	const fields = chosenForm().fields.flatMap(field => [
		element('label', {for: `field-${field.name}`}, field.label),
		fieldInput(field),
	]);
	const submit = element('button', {type: 'submit', class: 'main'}, 'Preview');
	byId('change-form').replaceChildren(...fields, element('p', {}, submit));
}

/** Reads the configuration and shows the forms over it. */
export async function showChange() {
	const answer = await send('GET', '/api/configuration');
	if (!answer.isDone) {
		byId('change-form').replaceChildren(paragraph('The configuration cannot be read from this node.', 'bad'));
		return;
	}

	configuration = answer.document;
	const kind = byId('change-kind');
	if (kind.options.length === 0) {
		kind.append(...forms.map(({title}, index) => element('option', {value: String(index)}, title)));
	}

	showForm();
}

/** Previews what the form says. */
export async function submitForm(event) {
	event.preventDefault();
	const form = chosenForm();
	const values = Object.fromEntries(new FormData(event.target));
	let operations;
	try {
		operations = form.operations(values, configuration);
	} catch (error) {
		showMessage(`The input is not valid: ${error.message}`);
		return;
	}

	const details = Object.values(values).filter(Boolean).join(', ');
	await preview(`${form.title}: ${details}`.slice(0, 200), {operations});
}
