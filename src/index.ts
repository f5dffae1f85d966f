/**
 * The public module: runs a node, or builds one from the embedding program's own services.
 *
 * typings/quetzalstream.d.ts describes all of it; nothing else of this package is public.
 */
import 'reflect-metadata';

export {AuditTrail} from './common/audit/audit-trail.js';
export {errorAnswers, Refusal} from './common/errors/error-kinds.js';
export {TermRecords} from './common/groups/term-record.js';
export {InvariantChecks} from './common/invariants/invariant-checks.js';
export {Emitter} from './common/lifecycle/emitter.js';
export {NodeCore} from './common/node-core.js';
export {logEvents} from './common/observability/log-events.js';
export {metrics} from './common/observability/metric-names.js';
export {comparePositions, hasReached, zeroPosition} from './common/positions/log-position.js';
export {CallerServer} from './node/callers/caller-server.js';
export {HmacTokenSigner} from './node/callers/token-signer.js';
export {PgEndpointConnector} from './node/endpoints/pg-endpoint-connector.js';
export {ConsolaLog} from './node/observability/consola-log.js';
export {PromMetrics} from './node/observability/prom-metrics.js';
export {loadSettings, SettingsError} from './node/settings/settings-file.js';
export {SystemClock} from './node/system-clock.js';
export {SystemRandom} from './node/system-random.js';
export {startNode} from './node/wiring.js';
