/**
 * Conversion between items of the table and DynamoDB attributes.
 */
import type {AttributeValue} from '@aws-sdk/client-dynamodb';
import type {TableItem} from '../../common/services/services.js';

/** Attributes of one item. */
export type Attributes = Record<string, AttributeValue>;

/** The key of an item. */
export function keyAttributes(partition: string, sort: string): Attributes {
	return {partition: {S: partition}, sort: {S: sort}}; // eslint-disable-line @typescript-eslint/naming-convention
}

/** Encodes an item as attributes; the service expects the expiry in whole seconds. */
export function encodeItem(item: TableItem): Attributes {
	/* eslint-disable @typescript-eslint/naming-convention -- the service's names of types. */
	return {
		...keyAttributes(item.partition, item.sort),
		revision: {N: String(item.revision)},
		changeId: {S: item.changeId},
		body: {S: item.body},
		...(item.expiresAtMs !== undefined && {expiresAt: {N: String(Math.ceil(item.expiresAtMs / 1000))}}),
	};
	/* eslint-enable @typescript-eslint/naming-convention */
}

/** Decodes an item; throws a TypeError if an attribute is missing, as after a write by another program. */
export function decodeItem(attributes: Attributes): TableItem {
	const expiresAtSeconds = attributes.expiresAt?.N;
	return {
		partition: textOf(attributes, 'partition'),
		sort: textOf(attributes, 'sort'),
		revision: revisionOf(attributes),
		changeId: textOf(attributes, 'changeId'),
		body: textOf(attributes, 'body'),
		...(expiresAtSeconds !== undefined && {expiresAtMs: Number(expiresAtSeconds) * 1000}),
	};
}

function textOf(attributes: Attributes, name: string): string {
	const text = attributes[name]?.S;
	if (text === undefined) {
		throw new TypeError(`item without text attribute ${name}`);
	}

	return text;
}

function revisionOf(attributes: Attributes): number {
	const revision = Number(attributes.revision?.N);
	if (!Number.isSafeInteger(revision)) {
		throw new TypeError('item without a revision');
	}

	return revision;
}
