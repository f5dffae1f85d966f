/**
 * The operators of a world, who propose changes on nodes and undo them.
 */
import type {Either} from 'purify-ts';
import type {Change, Operation} from '../../src/common/configuration/schema.js';
import type {ProposalRefusal} from '../../src/common/configuration/types.js';
import {Undo} from '../../src/common/configuration/undo.js';
import type {SimulatedNode} from './simulated-node.js';
import {untilEnd} from './simulated-process.js';
import type {ConfigurationObserver} from './world-plan.js';

type Propose = (acknowledged: readonly string[]) => Promise<Either<ProposalRefusal, Change>>;

/** Proposes changes, each with a unique change id. */
export class Operators {
	private readonly _observer: ConfigurationObserver | undefined;
	private _changeCount = 0;

	constructor(observer: ConfigurationObserver | undefined) {
		this._observer = observer;
	}

	/** Proposes a change on a node; resolves with false if it was not accepted. */
	async propose(node: SimulatedNode, operations: readonly Operation[], author: string, basedOn = node.core.history.version): Promise<boolean> {
		this._changeCount += 1;
		const changeId = `change-${this._changeCount}-00000000`;
		const proposal = {
			changeId, author, basedOn, operations,
		};
		this._observer?.onProposed(operations);
		return this._decide(node, async acknowledged => node.core.changeLog.propose({...proposal, acknowledged}));
	}

	/** Proposes the inverse of a change on a node; resolves with false if that was not accepted. */
	async undo(node: SimulatedNode, changeNumber: number, author: string): Promise<boolean> {
		this._changeCount += 1;
		const {changeLog, history} = node.core;
		const undo = new Undo(changeLog, history);
		const proposal = {changeId: `change-${this._changeCount}-00000000`, author, basedOn: history.version};
		const undone = history.keptChangesAfter(changeNumber - 1)?.at(0);
		this._observer?.onProposed(undone?.inverse ?? []);
		return this._decide(node, async acknowledged => undo.propose(changeNumber, {...proposal, acknowledged}));
	}

	/** Proposes a change, and if warnings must be acknowledged, proposes it again with all of them acknowledged. */
	private async _decide(node: SimulatedNode, propose: Propose): Promise<boolean> {
		const first = await untilEnd(node.process, propose([]));
		const refusal = first?.swap().toMaybe().extract();
		const warnings = refusal?.kind === 'unacknowledged' ? refusal.preview.warnings : [];
		const result = warnings.length > 0 ? await untilEnd(node.process, propose(warnings.map(({id}) => id))) : first;
		result?.ifRight(change => {
			this._observer?.onAccepted(change, node);
		});
		return result?.isRight() ?? false;
	}
}
