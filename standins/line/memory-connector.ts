/**
 * Connections to an in-memory group, with faults that tests inject.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {lineWire} from '../../platform/line-wire.js';
import type {Event} from '../../src/common/lifecycle/emitter.js';
import {Emitter} from '../../src/common/lifecycle/emitter.js';
import type {
	AnswerLine, Clock, ConnectionFault, EndpointAnswer, LineConnection, LineConnector, RegisteredEndpoint,
} from '../../src/common/services/services.js';
import {pauseFor} from '../../src/common/lifecycle/timing.js';
import {LineReader, readMessage} from './instance-grammar.js';
import type {LineGroup, LineInstance} from './line-group.js';
import type {LineInstanceSession} from './line-instance-session.js';

/** Time from a request to its answer, in milliseconds. */
const answerMs = 1;

/** Longest line that an instance accepts, with its line end. */
const maximumBytes = 1_048_576 + 2;

/** User of connections that a node opens on its own behalf, for no organisation. */
const nodeUser = 'node';

/** Connects to instances of a group without a network. */
export class MemoryConnector implements LineConnector {
	/** Faults by the id of the instance: `refused` connections fail at once; on `silent` ones nothing is answered. */
	readonly connectionFaults = new Map<string, 'refused' | 'silent'>();
	/** Ids of statements that run and are never answered. */
	readonly unanswered = new Set<string>();
	/** Number of connections that an instance closed because a line was too long. */
	closedByLongLines = 0;
	private readonly _group: LineGroup;
	private readonly _clock: Clock;

	constructor(group: LineGroup, clock: Clock) {
		this._group = group;
		this._clock = clock;
	}

	async connect(endpoint: RegisteredEndpoint, organisation: string | undefined): Promise<Either<ConnectionFault, LineConnection>> {
		const instance = this._group.instance(endpoint.id);
		const cut = this.connectionFaultOf(instance);
		if (cut === 'silent') {
			await pauseFor(this._clock, 700);
		}

		if (cut) {
			return Left({kind: cut, detail: 'cut by the test'});
		}

		const session = instance.open(endpoint.service, organisation ?? nodeUser, endpoint.id);
		if (typeof session === 'string') {
			return Left({kind: session.startsWith('TOOMANY') ? 'tooManyConnections' : 'wrongEndpoint', detail: session});
		}

		const {load} = instance;
		if (load) {
			const slot = await load.enter();
			if (!slot) {
				instance.close(session);
				return Left({kind: 'busy', detail: 'the queue is full'});
			}

			await pauseFor(this._clock, load.connectMs);
			slot.dispose();
		}

		return Right(new MemoryConnection(session, this, this._clock));
	}

	/** Returns the fault of connections to an instance; undefined if it can be reached. */
	connectionFaultOf(instance: LineInstance): 'refused' | 'silent' | undefined {
		return instance.isUp ? this.connectionFaults.get(instance.id) : 'refused';
	}
}

class MemoryConnection implements LineConnection {
	readonly onClose: Event<void>;
	private readonly _session: LineInstanceSession;
	private readonly _connector: MemoryConnector;
	private readonly _clock: Clock;
	private readonly _onClose = new Emitter<void>();
	private _isClosed = false;

	constructor(session: LineInstanceSession, connector: MemoryConnector, clock: Clock) {
		this.onClose = this._onClose.event;
		this._session = session;
		this._connector = connector;
		this._clock = clock;
		session.onEnd(() => {
			this.dispose();
		});
	}

	async exchange(requests: readonly string[]): Promise<Either<ConnectionFault, readonly EndpointAnswer[]>> {
		const {instance} = this._session;
		if (this._isClosed) {
			return Left({kind: 'closed', detail: 'the connection is closed'});
		}

		if (requests.some(request => request.length > maximumBytes)) {
			this._connector.closedByLongLines += 1;
			this.dispose();
			return Left({kind: 'closed', detail: 'a line was too long'});
		}

		const cut = this._connector.connectionFaultOf(instance);
		if (cut === 'silent') {
			return new Promise(() => undefined); // eslint-disable-line no-promise-executor-return -- never answered
		}

		await pauseFor(this._clock, answerMs);
		const answers = cut ? [undefined] : await this._answers(requests, instance);
		if (requests.some(request => this._connector.unanswered.has(request.split(' ')[1]))) {
			return new Promise(() => undefined); // eslint-disable-line no-promise-executor-return -- never answered
		}

		if (answers.includes(undefined)) {
			this.dispose();
			return Left({kind: 'closed', detail: 'the connection broke'});
		}

		return Right(answers.filter(answer => answer !== undefined));
	}

	dispose(): void {
		if (!this._isClosed) {
			this._isClosed = true;
			this._session.instance.close(this._session);
			this._onClose.fire();
		}
	}

	/** Answers requests, under load once a slot is free and their work is done. Requests of a node itself take no time. */
	private async _answers(requests: readonly string[], {load}: LineInstance): Promise<Array<EndpointAnswer | undefined>> {
		if (!load || requests.every(request => request.startsWith('QUERY - '))) {
			return requests.map(request => this._answer(request));
		}

		load.counts.arrived += 1;
		const slot = await load.enter();
		if (!slot) {
			load.counts.busy += 1;
			return requests.map(() => answerOf(['ERROR BUSY queue', this._ready]));
		}

		const isFailed = load.isNextFailed();
		const answers = isFailed ? requests.map(() => answerOf(['ERROR FAILED fault', this._ready])) : requests.map(request => this._answer(request));
		load.counts.failed += isFailed ? 1 : 0;
		if (answers.some(answer => answer?.error?.kind === 'behind')) {
			load.counts.behind += 1;
		} else {
			await pauseFor(this._clock, load.nextWorkMs());
		}

		slot.dispose();
		return answers;
	}

	private get _ready(): string {
		return `READY I ${this._session.instance.position}`;
	}

	/** Answers a request as an instance reads it: a request that holds the end of a line is several messages, of which the connection expects none. */
	private _answer(request: string): EndpointAnswer | undefined {
		const messages = (new LineReader().push(request) ?? []).map(line => readMessage(line));
		const answers = messages.map(message => message.kind === 'query' ? this._session.query(message.id, message.text) : undefined);
		const [lines] = answers;
		return answers.length !== 1 || lines === undefined ? undefined : answerOf(lines.split('\r\n').slice(0, -1));
	}
}

function answerOf(lines: readonly string[]): EndpointAnswer {
	const decoded = lines.map(line => lineWire.decodeAnswer(line));
	const ready = decoded.at(-1) as Extract<AnswerLine, {kind: 'ready'}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- every answer ends with a ready line
	const error = decoded.find(line => line.kind === 'error');
	return {
		text: lines.slice(0, -1).map(line => `${line}\r\n`).join(''),
		rows: decoded.flatMap(line => line.kind === 'row' ? [line.text] : []),
		error: error && {kind: error.error, text: error.text},
		status: ready.status,
		position: ready.position,
	};
}
