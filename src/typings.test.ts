/**
 * Compiles only while the implementation and its documented typings agree.
 */
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type * as documented from '../typings/quetzalstream.js';
import type {TermRecorder} from './common/groups/types.js';
import type {NodeServices} from './common/node-core.js';
import type * as services from './common/services/services.js';
import type {Settings} from './common/settings/settings-schema.js';
import type {ErrorAnswer, ErrorKind, ViewCorrection} from './common/errors/error-kinds.js';
import * as implementation from './index.js';

/** Every documented value exists and has its documented type. */
const module_: typeof documented = implementation;

type Same<A, B> = [A] extends [B] ? ([B] extends [A] ? true : false) : false;

/** Types that other programs implement or construct must be assignable in both directions. */
type Agreements = {
	answerSink: Same<documented.AnswerSink, services.AnswerSink>;
	audit: Same<documented.Audit, services.Audit>;
	callerDescription: Same<documented.CallerDescription, services.CallerDescription>;
	changeBatch: Same<documented.ChangeBatch, services.ChangeBatch>;
	clock: Same<documented.Clock, services.Clock>;
	endpointAddress: Same<documented.EndpointAddress, services.EndpointAddress>;
	endpointConnection: Same<documented.EndpointConnection, services.EndpointConnection>;
	endpointConnector: Same<documented.EndpointConnector, services.EndpointConnector>;
	errorAnswer: Same<documented.ErrorAnswer, ErrorAnswer>;
	errorKind: Same<documented.ErrorKind, ErrorKind>;
	groupView: Same<documented.GroupView, services.GroupView>;
	homeEnd: Same<documented.HomeEnd, services.HomeEnd>;
	homeExecutor: Same<documented.HomeExecutor, services.HomeExecutor>;
	homeRequest: Same<documented.HomeRequest, services.HomeRequest>;
	host: Same<documented.Host, services.Host>;
	hostList: Same<documented.HostList, services.HostList>;
	instanceControl: Same<documented.InstanceControl, services.InstanceControl>;
	instanceState: Same<documented.InstanceState, services.InstanceState>;
	invariants: Same<documented.Invariants, services.Invariants>;
	log: Same<documented.Log, services.Log>;
	membership: Same<documented.Membership, services.Membership>;
	metrics: Same<documented.Metrics, services.Metrics>;
	nodeServices: Same<documented.NodeServices, NodeServices>;
	objects: Same<documented.Objects, services.Objects>;
	peerHandlers: Same<documented.PeerHandlers, services.PeerHandlers>;
	peers: Same<documented.Peers, services.Peers>;
	random: Same<documented.Random, services.Random>;
	requestCycle: Same<documented.RequestCycle, services.RequestCycle>;
	routedSession: Same<documented.RoutedSession, services.RoutedSession>;
	routeEnd: Same<documented.RouteEnd, services.RouteEnd>;
	router: Same<documented.Router, services.Router>;
	settings: Same<documented.Settings, Settings>;
	table: Same<documented.Table, services.Table>;
	termRecorder: Same<documented.TermRecorder, TermRecorder>;
	viewCorrection: Same<documented.ViewCorrection, ViewCorrection>;
};

/** The type requires a property for every pair that differs, so the empty object compiles only if all pairs agree. */
const agreements: {[Name in keyof Agreements as Agreements[Name] extends true ? never : Name]: never} = {};

describe('typings/quetzalstream.d.ts', () => {
	it('declares every value of the public module and no other', () => {
		const text = readFileSync('typings/quetzalstream.d.ts', 'utf8');
		const declared = [...text.matchAll(/^export declare (?:class|const|function) (\w+)/gmv)].map(([, name]) => name);
		expect(declared.toSorted()).toEqual(Object.keys(module_).toSorted());
		expect(agreements).toEqual({});
	});
});
