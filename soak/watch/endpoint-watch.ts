/**
 * Checks at the endpoints what nodes send to them: request cycles against slots, connections
 * against the maximum, and no new work on drained endpoints.
 */
import type {Change, Operation} from '../../src/common/configuration/schema.js';
import type {Finding} from '../findings.js';
import type {SimulatedNode} from '../world/simulated-node.js';
import type {StartUpMessage} from '../world/start-up-message.js';
import type {ArrivedCycle, EndpointObserver} from '../world/work-wire.js';
import type {ConfigurationObserver} from '../world/world-plan.js';
import type {ConfigurationWatch} from './configuration-watch.js';

/** Allowance for the time between two polls of the nodes, in milliseconds. */
const pollAllowanceMs = 100;

/** An accepted rule that drains an endpoint. */
type DrainRule = {readonly endpoint: string; readonly rule: string; readonly changeNumber: number};

/** Checks what nodes send to endpoints. */
export class EndpointWatch implements EndpointObserver, ConfigurationObserver {
	readonly findings: Finding[] = [];
	/** Maximum number of request cycles in progress at one endpoint at the same time. */
	peakInProgress = 0;
	private readonly _slots: number;
	private readonly _configuration: ConfigurationWatch;
	private _drainRules: DrainRule[] = [];

	constructor(slots: number, configuration: ConfigurationWatch) {
		this._slots = slots;
		this._configuration = configuration;
	}

	onNodeStarted(node: SimulatedNode): void {
		this._configuration.onNodeStarted(node);
	}

	onProposed(operations: readonly Operation[]): void {
		for (const operation of operations) {
			if (operation.op === 'remove' && operation.kind === 'rule') {
				this._drainRules = this._drainRules.filter(({rule}) => rule !== operation.name);
			}
		}
	}

	onAccepted(change: Change, node: SimulatedNode): void {
		this._configuration.onAccepted(change, node);
		for (const operation of change.operations) {
			const drain = drainOf(operation);
			if (drain) {
				this._drainRules.push({...drain, changeNumber: change.number});
			}
		}
	}

	onCycle(cycle: ArrivedCycle): void {
		const {endpoint, sender, inProgress} = cycle;
		this.peakInProgress = Math.max(this.peakInProgress, inProgress);
		if (inProgress > this._slots) {
			this.findings.push({promise: 'slotsExceeded', detail: `${inProgress} request cycles at ${endpoint}, the last from ${sender.name} at ${cycle.sentMs}`});
		}

		if (!cycle.isInTransaction) {
			this._checkDrained(cycle);
		}
	}

	/**
	 * Counts work connections only: when a cut ends, the control connections of every node arrive at the
	 * same time, including abandoned ones, and the nodes retry those that are refused.
	 */
	onFull(endpoint: string, {purpose, appName}: StartUpMessage): void {
		if (purpose === 'work') {
			this.findings.push({promise: 'connectionsExceeded', detail: `${endpoint} had no connection left for ${appName}`});
		}
	}

	private _checkDrained({endpoint, sender, sentMs}: ArrivedCycle): void {
		for (const drainRule of this._drainRules) {
			const isServed = drainRule.endpoint === endpoint && sentMs > this._configuration.dueMs(sender, drainRule.changeNumber) + pollAllowanceMs;
			if (isServed) {
				this.findings.push({promise: 'leavingServed', detail: `${sender.name} sent new work to ${endpoint} at ${sentMs} despite change ${drainRule.changeNumber}`});
			}
		}
	}
}

/** The rule and the endpoint that an operation drains; undefined if it drains none. */
function drainOf(operation: Operation): Pick<DrainRule, 'rule' | 'endpoint'> | undefined {
	if (operation.op !== 'put' || operation.kind !== 'rule') {
		return undefined;
	}

	const {name: rule, effect, selector} = operation.value;
	const requirement = selector.endpoints?.at(0);
	const isDrain = effect.kind === 'drain' && effect.isDraining && requirement?.operator === 'equals';
	return isDrain ? {rule, endpoint: requirement.value} : undefined;
}
