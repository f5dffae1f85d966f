/**
 * Conversion between the types of the services and the messages of the peer link.
 */
import {
	errorAnswers, Refusal, type ErrorKind, type ViewCorrection,
} from '../../common/errors/error-kinds.js';
import {zeroPosition, type LogPosition} from '../../common/positions/log-position.js';
import type {
	GroupView,
	HomeEnd,
	HomeRequest,
	Host,
	InstanceRole,
	InstanceState,
	InstanceView,
	TransactionStatus,
	TransactionStep,
} from '../../common/services/services.js';
import {
	InstanceRole as WireRole,
	TransactionStatus as WireStatus,
	TransactionStep as WireStep,
	type AnswerEnd,
	type Correction,
	type Execute,
	type GroupViewAnswer,
	type HostDescription,
	type InstanceState as WireInstanceState,
	type InstanceView as WireInstanceView,
	type Position,
	type Refused,
} from './generated/quetzalstream/peer.js';

const stepsToWire = {
	none: WireStep.TRANSACTION_STEP_NONE,
	begin: WireStep.TRANSACTION_STEP_BEGIN,
	commit: WireStep.TRANSACTION_STEP_COMMIT,
	rollback: WireStep.TRANSACTION_STEP_ROLLBACK,
} as const satisfies Record<TransactionStep, WireStep>;
const stepsFromWire: readonly TransactionStep[] = ['none', 'begin', 'commit', 'rollback'];

const statusesToWire = {
	idle: WireStatus.TRANSACTION_STATUS_IDLE,
	open: WireStatus.TRANSACTION_STATUS_OPEN,
	failed: WireStatus.TRANSACTION_STATUS_FAILED,
} as const satisfies Record<TransactionStatus, WireStatus>;
const statusesFromWire: readonly TransactionStatus[] = ['idle', 'open', 'failed'];

const rolesToWire = {
	rebuilding: WireRole.INSTANCE_ROLE_REBUILDING,
	replica: WireRole.INSTANCE_ROLE_REPLICA,
	primary: WireRole.INSTANCE_ROLE_PRIMARY,
} as const satisfies Record<InstanceRole, WireRole>;
const rolesFromWire: readonly InstanceRole[] = ['rebuilding', 'replica', 'primary'];

/** Converts a request to the body of its first envelope. */
export function toExecute(request: HomeRequest, part: Pick<Execute, 'frames' | 'hasMore' | 'timeLeftMs'>): Execute {
	return {
		group: request.group,
		endpoint: request.endpoint,
		sessionId: request.sessionId,
		caller: request.caller,
		...part,
		isWrite: request.access === 'write',
		step: stepsToWire[request.step],
		isInTransaction: request.isInTransaction,
		isIdempotent: request.isIdempotent,
		minimumPosition: request.minimumPosition,
		maximumAgeMs: request.maximumAgeMs,
		isFreshnessProved: request.isFreshnessProved,
		priority: request.priority,
		transactionIdleMs: request.transactionIdleMs,
	};
}

/** Converts the body of a request's first envelope, and the complete frames, to the request. */
export function fromExecute(execute: Execute, frames: Uint8Array): HomeRequest {
	return {
		group: execute.group,
		endpoint: execute.endpoint,
		sessionId: execute.sessionId,
		caller: execute.caller,
		frames,
		access: execute.isWrite ? 'write' : 'read',
		step: stepsFromWire[execute.step] ?? 'none',
		isInTransaction: execute.isInTransaction,
		isIdempotent: execute.isIdempotent,
		minimumPosition: fromPosition(execute.minimumPosition),
		maximumAgeMs: execute.maximumAgeMs,
		isFreshnessProved: execute.isFreshnessProved,
		timeLeftMs: execute.timeLeftMs,
		priority: execute.priority,
		transactionIdleMs: execute.transactionIdleMs,
	};
}

/** Converts the end of an answer, with its last frames, to the body of an envelope. */
export function toAnswerEnd(end: HomeEnd, frames: Uint8Array, sequence: number): AnswerEnd {
	return {
		frames,
		sequence,
		transactionStatus: statusesToWire[end.transactionStatus],
		position: end.position,
		isHeld: end.isHeld,
		errorSqlState: end.errorSqlState,
		queuedMs: end.queuedMs,
		ageMs: end.ageMs,
		correction: end.correction,
	};
}

/** Converts the body of an envelope to the end of an answer. */
export function fromAnswerEnd(end: AnswerEnd): HomeEnd {
	return {
		transactionStatus: statusesFromWire[end.transactionStatus] ?? 'failed',
		position: fromPosition(end.position),
		isHeld: end.isHeld,
		errorSqlState: end.errorSqlState,
		queuedMs: end.queuedMs,
		ageMs: end.ageMs,
		correction: fromCorrection(end.correction),
	};
}

/** Converts a refusal to the body of an envelope, with the host that it names as home. */
export function toRefused(refusal: Refusal, homeHost?: Host): Refused {
	return {
		kind: refusal.kind,
		detail: refusal.detail,
		retryAfterMs: refusal.retryAfterMs,
		correction: refusal.correction,
		homeHost,
	};
}

/** Converts the body of an envelope to a refusal; `unknownKind` replaces a kind that this node does not know. */
export function fromRefused(refused: Refused, unknownKind: ErrorKind): Refusal {
	const kind = isErrorKind(refused.kind) ? refused.kind : unknownKind;
	return new Refusal(kind, refused.detail, {
		retryAfterMs: refused.retryAfterMs,
		correction: fromCorrection(refused.correction),
	});
}

function isErrorKind(text: string): text is ErrorKind {
	return Object.hasOwn(errorAnswers, text);
}

/** Converts the host of an envelope; undefined if there is none or it has no name. */
export function fromHost(host: HostDescription | undefined): Host | undefined {
	return host && host.name !== '' ? host : undefined;
}

/** Converts a group view to the body of an envelope. */
export function toGroupView(view: GroupView): GroupViewAnswer {
	return {...view, instances: view.instances.map(instance => toInstanceView(instance))};
}

/** Converts the body of an envelope to a group view. */
export function fromGroupView(view: GroupViewAnswer): GroupView {
	return {...view, instances: view.instances.map(instance => fromInstanceView(instance))};
}

function toInstanceView(instance: InstanceView): WireInstanceView {
	const {state} = instance;
	return {...instance, state: state && {...state, role: rolesToWire[state.role]}};
}

function fromInstanceView(instance: WireInstanceView): InstanceView {
	return {...instance, state: instance.state && fromInstanceState(instance.state)};
}

function fromInstanceState(state: WireInstanceState): InstanceState {
	return {
		...state,
		role: rolesFromWire[state.role] ?? 'rebuilding',
		received: fromPosition(state.received),
		applied: fromPosition(state.applied),
	};
}

function fromPosition(position: Position | undefined): LogPosition {
	return position ?? zeroPosition;
}

function fromCorrection(correction: Correction | undefined): ViewCorrection | undefined {
	return correction && {term: correction.term, primary: correction.primary, homeNode: correction.homeNode};
}
