/**
 * Entry point of a node that runs in its own process, from the compiled modules.
 */
import {main} from '../../../platform/main.js';
import {divertConnections} from './diverted-connections.js';

divertConnections();
await main({isCacheUsed: false});
