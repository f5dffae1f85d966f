/**
 * Reads the first message that a client sends to an endpoint.
 */
import {appNames} from '../../standins/endpoint/constants.js';
import type {ConnectionPurpose} from '../../standins/endpoint/wire/connection.js';

const cancelRequestCode = 80_877_102;

/** The request in a first message. */
export type StartUpMessage = {
	readonly appName: string;
	readonly purpose: ConnectionPurpose;
	/** Home that a work connection belongs to; empty for the other purposes. */
	readonly homeId: string;
	/** Process id of the connection whose statement is to be cancelled; set on a CancelRequest only. */
	readonly cancelledProcessId?: number;
};

/** Reads a StartupMessage or a CancelRequest (PostgreSQL documentation, 55.7). */
export function readStartUp(bytes: Uint8Array): StartUpMessage {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	if (view.getInt32(4) === cancelRequestCode) {
		return {
			appName: '', purpose: 'direct', homeId: '', cancelledProcessId: view.getInt32(8),
		};
	}

	const fields = new TextDecoder().decode(bytes.subarray(8)).split('\0');
	const appName = fields[fields.indexOf('application_name') + 1] ?? '';
	const purpose = purposeOf(appName);
	return {appName, purpose, homeId: purpose === 'work' ? appName.slice(appNames.work.length) : ''};
}

function purposeOf(appName: string): ConnectionPurpose {
	if (appName.startsWith(appNames.control)) {
		return 'control';
	}

	return appName.startsWith(appNames.work) ? 'work' : 'direct';
}
